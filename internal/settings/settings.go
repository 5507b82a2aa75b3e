// Package settings reads the settings files of the daemon and the inventory
// files of operators. Both are TOML files and are decoded strictly: all unknown
// keys, wrong types and invalid values of a file are reported at once.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// ExitCode is the exit code of commands that fail with an Error.
const ExitCode = 2

// Error contains all faults of a file.
type Error struct {
	File   string
	Faults []inventory.Fault
}

// Error lists the faults, one per line, each with file, key, problem and remedy.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: %s", e.File, f.Error()))
	}
	return strings.Join(lines, "\n")
}

// Settings contains the settings of one daemon.
type Settings struct {
	// VM and DataCentre are the names of the daemon's VM and data centre in the
	// inventory.
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

// Listen contains the IP addresses and ports on which the daemon listens. With
// port 0 the system chooses a free port.
type Listen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// Platform configures access to the platform's table service.
type Platform struct {
	URLs    []string      `toml:"urls"`
	Timeout time.Duration `toml:"timeout"`
}

// Peer is an entry VM with which the daemon starts the exchange.
type Peer struct {
	VM         string `toml:"vm"`
	DataCentre string `toml:"data_centre"`
	Address    string `toml:"address"`
}

// LogFormat is the format of log lines.
type LogFormat string

// Formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Log configures logging. Level is debug, info, warn or error.
type Log struct {
	Format LogFormat `toml:"format"`
	Level  string    `toml:"level"`
}

// Trace configures where spans are sent. At most one of the fields may be set.
type Trace struct {
	OTLPEndpoint string `toml:"otlp_endpoint"`
	File         string `toml:"file"`
}

// TLS contains the paths of the PEM files for the interfaces to peers and
// operators. Either all three are set or none.
type TLS struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Enabled reports whether the interfaces use mutual TLS.
func (t TLS) Enabled() bool { return t.CA != "" }

// Intervals contains the daemon's periods and timeouts.
type Intervals struct {
	Tick       time.Duration `toml:"tick"`
	Probe      time.Duration `toml:"probe"`
	ReportTTL  time.Duration `toml:"report_ttl"`
	Lease      time.Duration `toml:"lease"`
	Exchange   time.Duration `toml:"exchange"`
	ConfigPoll time.Duration `toml:"config_poll"`
	// StopGrace limits the duration of a graceful shutdown.
	StopGrace time.Duration `toml:"stop_grace"`
}

// Limits restricts callers' requests and connections and the memory that they take.
type Limits struct {
	MaxBodyBytes   int64         `toml:"max_body_bytes"`
	MaxHeaderBytes int           `toml:"max_header_bytes"`
	RequestTimeout time.Duration `toml:"request_timeout"`
	// RequestMemoryMB limits the memory of all request bodies together. The daemon
	// uses more if a single body of MaxBodyBytes needs it.
	RequestMemoryMB int64 `toml:"request_memory_mb"`
	// Connections is the maximum number of callers' connections; 0 derives it from
	// OpenFiles.
	Connections int `toml:"connections"`
	// OpenFiles is the number of descriptors that the daemon may use; 0 selects the
	// process's limit.
	OpenFiles int `toml:"open_files"`
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout time.Duration `toml:"idle_timeout"`
	// HeaderTimeout is how long a caller may take to send a header.
	HeaderTimeout time.Duration `toml:"header_timeout"`
	// StalledWrite is how long a caller may read nothing of a response.
	StalledWrite time.Duration `toml:"stalled_write"`
}

// Default returns the values of keys that are absent from the file.
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
			MaxBodyBytes:    8 << 20,
			MaxHeaderBytes:  64 << 10,
			RequestTimeout:  10 * time.Minute,
			RequestMemoryMB: 64,
			IdleTimeout:     2 * time.Minute,
			HeaderTimeout:   10 * time.Second,
			StalledWrite:    15 * time.Second,
		},
	}
}

// Load reads the settings file at path. The error is an *Error, unless the file
// cannot be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "reading settings; name a file that exists")
	}
	return Parse(path, data)
}

// Parse decodes settings from data. The error refers to the data as file.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	if err := Decode(file, data, &s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// LoadInventory reads the inventory file at path. The error is an *Error,
// unless the file cannot be read.
func LoadInventory(path string) (inventory.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return inventory.Document{}, errors.Annotate(err, "reading inventory; name a file that exists")
	}
	return ParseInventory(path, data)
}

// ParseInventory decodes an inventory from data. The error refers to the data as
// file.
func ParseInventory(file string, data []byte) (inventory.Document, error) {
	var doc inventory.Document
	if err := Decode(file, data, &doc); err != nil {
		return inventory.Document{}, err
	}
	return doc, nil
}

// Document is a pointer to a struct with toml tags that can validate itself.
type Document interface {
	Validate() []inventory.Fault
}

// Decode strictly decodes data into dst, a pointer to a struct, and validates
// the result. Fields whose keys are absent remain unchanged. The error is an
// *Error with all faults and refers to the data as file.
func Decode(file string, data []byte, dst Document) error {
	faults := decodeStrict(data, dst)
	faults = mergeFaults(faults, dst.Validate())
	if len(faults) > 0 {
		return &Error{File: file, Faults: faults}
	}
	return nil
}

// mergeFaults appends the faults found by validation to those found by decoding,
// except for keys whose values could not be decoded. After a syntax error it
// returns only that, since nothing was decoded.
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
