// Package settings reads the settings files of the daemon and the
// inventory files of operators. Both are TOML and read strictly: a run
// reports every unknown key, wrong type and impossible value of a file.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// ExitCode is what commands exit with when an Error is returned.
const ExitCode = 2

// Error holds every fault of a file.
type Error struct {
	File   string
	Faults []inventory.Fault
}

// Error lists the faults, one a line, each with file, key and remedy.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: %s", e.File, f.Error()))
	}
	return strings.Join(lines, "\n")
}

// Settings are the settings of one daemon.
type Settings struct {
	// VM and DataCentre name the daemon's own place in the inventory.
	VM         string    `toml:"vm"`
	DataCentre string    `toml:"data_centre"`
	Listen     Listen    `toml:"listen"`
	Platform   Platform  `toml:"platform"`
	Peers      []Peer    `toml:"peers"`
	Log        Log       `toml:"log"`
	Trace      Trace     `toml:"trace"`
	TLS        TLS       `toml:"tls"`
	Intervals  Intervals `toml:"intervals"`
	Limits     Limits    `toml:"limits"`
}

// Listen are the daemon's own IP addresses and ports. Port 0 takes a free
// one.
type Listen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// Platform says how to reach the table service.
type Platform struct {
	URLs    []string      `toml:"urls"`
	Timeout time.Duration `toml:"timeout"`
}

// Peer is an entry VM to start the exchange with.
type Peer struct {
	VM         string `toml:"vm"`
	DataCentre string `toml:"data_centre"`
	Address    string `toml:"address"`
}

// LogFormat is the form of log lines.
type LogFormat string

// Formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Log says how the daemon logs. Level is debug, info, warn or error.
type Log struct {
	Format LogFormat `toml:"format"`
	Level  string    `toml:"level"`
}

// Trace says where spans go; at most one of the two is set.
type Trace struct {
	OTLPEndpoint string `toml:"otlp_endpoint"`
	File         string `toml:"file"`
}

// TLS names the PEM files of the peers' and operators' interfaces. Either
// all three are set or none.
type TLS struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Enabled reports whether the interfaces use mutual TLS.
func (t TLS) Enabled() bool { return t.CA != "" }

// Intervals are the daemon's periods and time limits.
type Intervals struct {
	Tick       time.Duration `toml:"tick"`
	Probe      time.Duration `toml:"probe"`
	ReportTTL  time.Duration `toml:"report_ttl"`
	Lease      time.Duration `toml:"lease"`
	Exchange   time.Duration `toml:"exchange"`
	ConfigPoll time.Duration `toml:"config_poll"`
	// StopGrace bounds a graceful shutdown.
	StopGrace time.Duration `toml:"stop_grace"`
}

// Limits bound what a caller may send and how long a request may take.
type Limits struct {
	MaxBodyBytes   int64         `toml:"max_body_bytes"`
	MaxHeaderBytes int           `toml:"max_header_bytes"`
	RequestTimeout time.Duration `toml:"request_timeout"`
}

// Default returns the settings that hold for absent keys.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: 2 * time.Second},
		Log:      Log{Format: LogText, Level: "info"},
		Intervals: Intervals{
			Tick:       100 * time.Millisecond,
			Probe:      500 * time.Millisecond,
			ReportTTL:  2 * time.Second,
			Lease:      6 * time.Second,
			Exchange:   500 * time.Millisecond,
			ConfigPoll: time.Second,
			StopGrace:  30 * time.Second,
		},
		Limits: Limits{
			MaxBodyBytes:   8 << 20,
			MaxHeaderBytes: 64 << 10,
			RequestTimeout: 10 * time.Minute,
		},
	}
}

// Load reads the settings file at path. Its error is an *Error, unless the
// file can't be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "reading settings; name a file that exists")
	}
	return Parse(path, data)
}

// Parse reads settings from data; file names them in faults.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	if err := Decode(file, data, &s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// LoadInventory reads the inventory file at path. Its error is an *Error,
// unless the file can't be read.
func LoadInventory(path string) (inventory.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return inventory.Document{}, errors.Annotate(err, "reading inventory; name a file that exists")
	}
	return ParseInventory(path, data)
}

// ParseInventory reads an inventory from data; file names it in faults.
func ParseInventory(file string, data []byte) (inventory.Document, error) {
	var doc inventory.Document
	if err := Decode(file, data, &doc); err != nil {
		return inventory.Document{}, err
	}
	return doc, nil
}

// Document is a struct with toml tags that checks its own values.
type Document interface {
	Validate() []inventory.Fault
}

// Decode reads data into dst, a pointer to a struct, strictly; absent keys
// leave their fields as they are. Its error is an *Error with every fault
// and names the data as file.
func Decode(file string, data []byte, dst Document) error {
	faults := decodeStrict(data, dst)
	faults = mergeFaults(faults, dst.Validate())
	if len(faults) > 0 {
		return &Error{File: file, Faults: faults}
	}
	return nil
}

// mergeFaults appends the faults found by validation, but for those of keys
// whose values could not be decoded in the first place. A syntax error
// stands alone, since nothing was decoded.
func mergeFaults(decoding, validation []inventory.Fault) []inventory.Fault {
	seen := map[string]bool{}
	for _, f := range decoding {
		if isSyntaxFault(f) {
			return decoding
		}
		seen[f.Key] = true
	}
	for _, f := range validation {
		if !seen[f.Key] {
			decoding = append(decoding, f)
		}
	}
	return decoding
}

func isSyntaxFault(f inventory.Fault) bool {
	return f.Key == "document" || strings.HasPrefix(f.Key, "line ")
}
