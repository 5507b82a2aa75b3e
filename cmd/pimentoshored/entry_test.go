package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/settings"
)

func TestCheckOfEntrySettings(t *testing.T) {
	const valid = "vm = \"a\"\ndata_centre = \"d\"\nstore = \"10.0.0.7:1\"\n[listen]\ncallers = \"10.0.0.1:2\"\nready = \"10.0.0.1:3\"\n"
	for content, ok := range map[string]bool{valid: true, "vm = 7\n": false} {
		file := filepath.Join(t.TempDir(), "settings.toml")
		assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
		cmd := command()
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetArgs([]string{"entry", "--check", "--settings", file})
		err := cmd.Execute()
		if ok {
			assert.NilError(t, err)
			assert.Assert(t, bytes.Contains(out.Bytes(), []byte("is valid")), out.String())
			continue
		}
		var faults *settings.Error
		assert.Assert(t, errors.As(err, &faults), "%v", err)
	}
}
