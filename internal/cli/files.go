package cli

import (
	"bufio"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/internal/load"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

// Values of the --kind flag of validate.
const (
	fileKindInventory = "inventory"
	fileKindDaemon    = "daemon"
	fileKindLoad      = "load"
)

func (a *app) validateCommand() *cobra.Command {
	var kind string
	cmd := &cobra.Command{
		Use:     "validate FILE",
		Short:   "Check a file and list all its faults",
		Long:    "Check an inventory, a daemon's settings or a load tool's settings, and list every fault with its key and remedy.",
		Example: "  pimentoshore validate inventory.toml\n  pimentoshore validate --kind daemon /etc/pimentoshored.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := a.validate(kind, args[0]); err != nil {
				return err
			}
			a.progress("%s is valid", args[0])
			return nil
		},
	}
	cmd.Flags().StringVar(&kind, "kind", fileKindInventory, "what the file is: inventory, daemon or load")
	return cmd
}

// validate checks a file, and says what a valid inventory means for callers' keys.
func (a *app) validate(kind, file string) error {
	if kind != fileKindInventory {
		return validateFile(kind, file)
	}
	doc, err := settings.LoadInventory(file)
	if err == nil {
		a.warnWithoutKeys(doc)
	}
	return err
}

// warnWithoutKeys says that all callers are refused if no client account has a key.
func (a *app) warnWithoutKeys(doc inventory.Document) {
	if slices.ContainsFunc(doc.ClientAccounts, func(c inventory.ClientAccount) bool { return len(c.KeyHashes) > 0 }) {
		return
	}
	a.progress("no client account has a key: all callers are refused; add a hash of pimentoshore hash-key to key_hashes")
}

// validateFile checks a file of a kind other than an inventory.
func validateFile(kind, file string) error {
	var err error
	switch kind {
	case fileKindDaemon:
		_, err = settings.Load(file)
	case fileKindLoad:
		_, err = load.ReadWorkload(file)
	default:
		err = &usageError{message: fmt.Sprintf("--kind %q is unknown; use inventory, daemon or load", kind)}
	}
	return err
}

// generatedKeyBytes is the length of a generated key before hex encoding.
const generatedKeyBytes = 32

func (a *app) hashKeyCommand() *cobra.Command {
	var generate bool
	cmd := &cobra.Command{
		Use:   "hash-key",
		Short: "Print the hash of a client account's key",
		Long: "Read a key from standard input and print the value for key_hashes.\n" +
			"With --generate, make a new key and print it on the first line and its hash on the second.",
		Example: "  pimentoshore hash-key < key.txt\n  pimentoshore hash-key --generate",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			key, err := a.readKey(generate)
			if err != nil {
				return err
			}
			if generate {
				fmt.Fprintln(a.Out, key)
			}
			fmt.Fprintln(a.Out, hashKey(key))
			return nil
		},
	}
	cmd.Flags().BoolVar(&generate, "generate", false, "make a new key")
	return cmd
}

func (a *app) readKey(generate bool) (string, error) {
	if generate {
		raw := make([]byte, generatedKeyBytes)
		_, err := rand.Read(raw)
		return hex.EncodeToString(raw), err
	}
	line, err := bufio.NewReader(a.In).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return "", errors.Errorf("no key on standard input (%v); write it there on one line", err)
	}
	return key, nil
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
