package cli

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
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
		pattern := regexp.MustCompile("`" + regexp.QuoteMeta(cmd.CommandPath()) + "[ `]")
		assert.Assert(t, pattern.MatchString(page), cmd.CommandPath())
		for _, flag := range flagName.FindAllString(cmd.LocalFlags().FlagUsages(), -1) {
			assert.Assert(t, strings.Contains(page, flag), "%s %s", cmd.CommandPath(), flag)
		}
	}
	a := &app{}
	walk(a.rootCommand())
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
		for _, key := range tomlKeys(tc.settings, "") {
			assert.Assert(t, strings.Contains(page, "`"+key+"`"), "%s lacks %s", tc.page, key)
		}
	}
}

// metricRegistration matches the registration of a metric and captures its name
// if that is a literal.
var metricRegistration = regexp.MustCompile(`telemetry\.(?:Counter|Gauge|Timer)\([^,]+, (?:"([a-z_]+)")?`)

// metricUnits lists the suffixes that the name of a metric may end in.
var metricUnits = []string{"_total", "_seconds", "_bytes", "_number", "_nodes", "_leases", "_groups", "_accelerators"}

func TestMetricsReferenceIsComplete(t *testing.T) {
	page := readPage(t, "metrics.md")
	names := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, match := range metricRegistration.FindAllStringSubmatch(string(raw), -1) {
			assert.Assert(t, match[1] != "", "%s: write the name of the metric as a literal: %s", path, match[0])
			names[match[1]] = true
		}
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 0)
	for name := range names {
		assert.Assert(t, slices.ContainsFunc(metricUnits, func(unit string) bool { return strings.HasSuffix(name, unit) }), "%s does not end in a unit", name)
		assert.Assert(t, strings.Contains(page, "| `pimentoshore_"+name+"` |"), "metrics.md lacks %s", name)
	}
	rows := regexp.MustCompile("(?m)^\\| `pimentoshore_([a-z_]+)` \\|").FindAllStringSubmatch(page, -1)
	for _, row := range rows {
		assert.Assert(t, names[row[1]], "metrics.md names %s, which the code does not have", row[1])
	}
}

// problemKinds parses the constants of type Kind from the source of the problem
// package.
func problemKinds(t *testing.T) []problem.Kind {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../coord/problem/problem.go", nil, 0)
	assert.NilError(t, err)
	var kinds []problem.Kind
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if ident, ok := spec.Type.(*ast.Ident); ok && ident.Name == "Kind" {
			value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			kinds = append(kinds, problem.Kind(value))
		}
		return true
	})
	return kinds
}

func TestErrorReferenceIsComplete(t *testing.T) {
	page := readPage(t, "errors.md")
	kinds := problemKinds(t)
	assert.Assert(t, slices.Contains(kinds, problem.Internal))
	for _, kind := range kinds {
		row := fmt.Sprintf("| `%s` | %d |", kind, gateway.StatusOf(kind))
		assert.Assert(t, strings.Contains(page, row), "errors.md lacks %s", row)
	}
	rows := regexp.MustCompile("(?m)^\\| `").FindAllString(page, -1)
	assert.Equal(t, len(rows), len(kinds), "errors.md names a kind that the code does not have")
}

func TestReasonsReferenceIsComplete(t *testing.T) {
	page := readPage(t, "status-and-explain.md")
	source, err := os.ReadFile("../../coord/group/reason.go")
	assert.NilError(t, err)
	codes := regexp.MustCompile(`Code += "([a-z-]+)"`).FindAllStringSubmatch(string(source), -1)
	assert.Assert(t, len(codes) > 0)
	for _, code := range codes {
		assert.Assert(t, strings.Contains(page, "| `"+code[1]+"` |"), "status-and-explain.md lacks %s", code[1])
	}
}

// tomlKeys lists the dotted TOML keys of a settings struct, without those of
// tables.
func tomlKeys(t reflect.Type, prefix string) []string {
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		typ := field.Type
		if typ.Kind() == reflect.Slice {
			typ = typ.Elem()
		}
		if typ.Kind() == reflect.Struct {
			keys = append(keys, tomlKeys(typ, prefix+key+".")...)
			continue
		}
		keys = append(keys, prefix+key)
	}
	return keys
}
