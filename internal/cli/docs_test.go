package cli

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/load"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

func readPage(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile("../../docs/operations/" + name)
	assert.NilError(t, err)
	return string(raw)
}

var flagName = regexp.MustCompile(`--[a-z-]+`)

func TestCommandReferenceIsComplete(t *testing.T) {
	page := readPage(t, "commands.md")
	var walk func(cmd *cobra.Command)
	walk = func(cmd *cobra.Command) {
		for _, sub := range cmd.Commands() {
			walk(sub)
		}
		if cmd.HasSubCommands() {
			return
		}
		named := regexp.MustCompile("`" + regexp.QuoteMeta(cmd.CommandPath()) + "[ `]")
		assert.Assert(t, named.MatchString(page), cmd.CommandPath())
		for _, flag := range flagName.FindAllString(cmd.LocalFlags().FlagUsages(), -1) {
			assert.Assert(t, strings.Contains(page, flag), "%s %s", cmd.CommandPath(), flag)
		}
	}
	a := &app{}
	walk(a.root())
}

func TestSettingsReferencesAreComplete(t *testing.T) {
	tests := []struct {
		page     string
		settings reflect.Type
	}{
		{"settings.md", reflect.TypeFor[settings.Settings]()},
		{"load.md", reflect.TypeFor[load.Workload]()},
	}
	for _, tc := range tests {
		page := readPage(t, tc.page)
		for _, key := range keysOf(tc.settings, "") {
			assert.Assert(t, strings.Contains(page, "`"+key+"`"), "%s lacks %s", tc.page, key)
		}
	}
}

// keysOf lists the TOML keys of a struct's values.
func keysOf(t reflect.Type, prefix string) []string {
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		kind := field.Type
		if kind.Kind() == reflect.Slice {
			kind = kind.Elem()
		}
		if kind.Kind() == reflect.Struct {
			keys = append(keys, keysOf(kind, prefix+key+".")...)
			continue
		}
		keys = append(keys, prefix+key)
	}
	return keys
}
