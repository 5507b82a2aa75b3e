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

// decoder copies a parsed TOML document into a struct and collects a fault for
// every key that the struct does not have or whose value has the wrong type.
type decoder struct {
	faults []inventory.Fault
}

// decodeStrict decodes data into dst, a pointer to a struct with toml tags. If
// data is not valid TOML, it returns one fault, since nothing after the first
// syntax error can be decoded.
func decodeStrict(data []byte, dst any) []inventory.Fault {
	doc := map[string]any{}
	if err := toml.Unmarshal(data, &doc); err != nil {
		return []inventory.Fault{syntaxFault(err)}
	}
	d := &decoder{}
	d.decodeTable("", doc, reflect.ValueOf(dst).Elem())
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

func (d *decoder) addFault(key, problem, remedy string) {
	d.faults = append(d.faults, inventory.Fault{Key: key, Problem: problem, Remedy: remedy})
}

// decodeTable decodes a TOML table into a struct, in alphabetical order of the
// keys.
func (d *decoder) decodeTable(path string, doc map[string]any, dst reflect.Value) {
	fields := fieldsByKey(dst)
	for _, key := range sortedKeys(doc) {
		full := joinKey(path, key)
		field, ok := fields[key]
		if !ok {
			d.addFault(full, "is not a known key", "remove it or use one of "+strings.Join(sortedKeys(fields), ", "))
			continue
		}
		d.decodeValue(full, doc[key], field)
	}
}

var durationType = reflect.TypeFor[time.Duration]()

// decodeValue decodes a value of any supported type.
func (d *decoder) decodeValue(key string, src any, dst reflect.Value) {
	switch {
	case dst.Type() == durationType:
		d.decodeDuration(key, src, dst)
	case dst.Kind() == reflect.Struct:
		if doc, ok := src.(map[string]any); ok {
			d.decodeTable(key, doc, dst)
			return
		}
		d.addTypeFault(key, src, "a table")
	case dst.Kind() == reflect.Slice:
		d.decodeList(key, src, dst)
	default:
		d.decodeScalar(key, src, dst)
	}
}

func (d *decoder) decodeScalar(key string, src any, dst reflect.Value) {
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
	d.addTypeFault(key, src, kindNames[dst.Kind()])
}

// kindNames describes the supported kinds of scalar values for operators.
var kindNames = map[reflect.Kind]string{
	reflect.String:  "a string",
	reflect.Bool:    "true or false",
	reflect.Int:     "a whole number",
	reflect.Int64:   "a whole number",
	reflect.Float64: "a number",
}

func (d *decoder) decodeDuration(key string, src any, dst reflect.Value) {
	const remedy = `write a duration with its unit, such as "500ms", "2s" or "10m"`
	text, ok := src.(string)
	if !ok {
		d.addFault(key, fmt.Sprintf("%s has no unit", describeValue(src)), remedy)
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.addFault(key, fmt.Sprintf("%q is not a duration", text), remedy)
		return
	}
	dst.SetInt(int64(parsed))
}

// decodeList decodes an array or an array of tables.
func (d *decoder) decodeList(key string, src any, dst reflect.Value) {
	var items []any
	switch v := src.(type) {
	case []any:
		items = v
	case []map[string]any:
		for _, item := range v {
			items = append(items, item)
		}
	default:
		d.addTypeFault(key, src, "a list")
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(items), len(items))
	for i, item := range items {
		d.decodeValue(fmt.Sprintf("%s[%d]", key, i), item, out.Index(i))
	}
	dst.Set(out)
}

func (d *decoder) addTypeFault(key string, src any, want string) {
	d.addFault(key, fmt.Sprintf("is %s instead of %s", describeValue(src), want), "write "+want)
}

// describeValue describes the type of a value for operators, and numbers by
// their value.
func describeValue(src any) string {
	switch v := src.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return fmt.Sprintf("the number %d", v)
	case float64:
		if math.IsNaN(v) {
			return "NaN"
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

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
