package settings

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// decoder copies a parsed TOML document into a struct and collects every
// key that the struct doesn't have or whose value has another type.
type decoder struct {
	faults []inventory.Fault
}

// decodeStrict decodes data into dst, a pointer to a struct with toml tags.
// A document that isn't TOML yields one fault, since nothing after its first
// syntax error can be read.
func decodeStrict(data []byte, dst any) []inventory.Fault {
	doc := map[string]any{}
	if err := toml.Unmarshal(data, &doc); err != nil {
		return []inventory.Fault{syntaxFault(err)}
	}
	d := &decoder{}
	d.table("", doc, reflect.ValueOf(dst).Elem())
	return d.faults
}

func syntaxFault(err error) inventory.Fault {
	key, remedy := "document", "correct the TOML syntax"
	var parse toml.ParseError
	if errors.As(err, &parse) {
		key = fmt.Sprintf("line %d", parse.Position.Line)
		if parse.LastKey != "" {
			key += ", key " + parse.LastKey
		}
		return inventory.Fault{Key: key, Problem: parse.Message, Remedy: remedy}
	}
	return inventory.Fault{Key: key, Problem: err.Error(), Remedy: remedy}
}

func (d *decoder) add(key, problem, remedy string) {
	d.faults = append(d.faults, inventory.Fault{Key: key, Problem: problem, Remedy: remedy})
}

// table decodes a TOML table into a struct, in the order of the keys.
func (d *decoder) table(path string, doc map[string]any, dst reflect.Value) {
	fields := fieldsByKey(dst)
	for _, key := range sortedKeys(doc) {
		full := join(path, key)
		field, ok := fields[key]
		if !ok {
			d.add(full, "is not a known key", "remove it or use one of "+strings.Join(sortedKeys(fields), ", "))
			continue
		}
		d.value(full, doc[key], field)
	}
}

var durationType = reflect.TypeFor[time.Duration]()

// value decodes one value of any supported type.
func (d *decoder) value(key string, src any, dst reflect.Value) {
	switch {
	case dst.Type() == durationType:
		d.duration(key, src, dst)
	case dst.Kind() == reflect.Struct:
		if doc, ok := src.(map[string]any); ok {
			d.table(key, doc, dst)
			return
		}
		d.wrongType(key, src, "a table")
	case dst.Kind() == reflect.Slice:
		d.list(key, src, dst)
	default:
		d.scalar(key, src, dst)
	}
}

func (d *decoder) scalar(key string, src any, dst reflect.Value) {
	switch v := src.(type) {
	case string:
		if dst.Kind() == reflect.String {
			dst.SetString(v)
			return
		}
	case bool:
		if dst.Kind() == reflect.Bool {
			dst.SetBool(v)
			return
		}
	case int64:
		if dst.Kind() == reflect.Int || dst.Kind() == reflect.Int64 {
			dst.SetInt(v)
			return
		}
		if dst.Kind() == reflect.Float64 {
			dst.SetFloat(float64(v))
			return
		}
	case float64:
		if dst.Kind() == reflect.Float64 {
			dst.SetFloat(v)
			return
		}
	}
	d.wrongType(key, src, kindNames[dst.Kind()])
}

var kindNames = map[reflect.Kind]string{
	reflect.String:  "a string",
	reflect.Bool:    "true or false",
	reflect.Int:     "a whole number",
	reflect.Int64:   "a whole number",
	reflect.Float64: "a number",
}

func (d *decoder) duration(key string, src any, dst reflect.Value) {
	const remedy = `write a duration with its unit, as "500ms", "2s" or "10m"`
	text, ok := src.(string)
	if !ok {
		d.add(key, fmt.Sprintf("%s has no unit", describe(src)), remedy)
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.add(key, fmt.Sprintf("%q is not a duration", text), remedy)
		return
	}
	dst.SetInt(int64(parsed))
}

// list decodes an array, or an array of tables.
func (d *decoder) list(key string, src any, dst reflect.Value) {
	var items []any
	switch v := src.(type) {
	case []any:
		items = v
	case []map[string]any:
		for _, item := range v {
			items = append(items, item)
		}
	default:
		d.wrongType(key, src, "a list")
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(items), len(items))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", key, i), item, out.Index(i))
	}
	dst.Set(out)
}

func (d *decoder) wrongType(key string, src any, want string) {
	d.add(key, fmt.Sprintf("holds %s instead of %s", describe(src), want), "write "+want)
}

// describe names a value's type as an operator knows it.
func describe(src any) string {
	switch v := src.(type) {
	case string:
		return "a string"
	case bool:
		return "a truth value"
	case int64:
		return fmt.Sprintf("the number %d", v)
	case float64:
		if math.IsNaN(v) {
			return "a number that is not one"
		}
		return fmt.Sprintf("the number %g", v)
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "a list"
	default:
		return "a date"
	}
}

// fieldsByKey indexes the fields of a struct by their TOML keys.
func fieldsByKey(dst reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range dst.NumField() {
		key, _, _ := strings.Cut(dst.Type().Field(i).Tag.Get("toml"), ",")
		if key != "" && key != "-" {
			fields[key] = dst.Field(i)
		}
	}
	return fields
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
