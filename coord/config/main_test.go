package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, unless the command line
// gives one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
