package strictjson

import (
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// StringSetter is implemented by types that Decode sets from a JSON string.
type StringSetter interface{ SetString(string) }

type decoder struct {
	positions *Positions
	findings  []Finding
}

func (d *decoder) report(path, text string) {
	line, column := d.positions.Find(path)
	d.add(Finding{line, column, path, text})
}

func (d *decoder) add(f Finding) {
	if len(d.findings) < maxFindings {
		d.findings = append(d.findings, f)
	}
}

// value decodes v, the value at path, into out.
func (d *decoder) value(path string, v *hujson.Value, out reflect.Value) {
	d.positions.offsets[path] = v.StartOffset
	if out.Kind() == reflect.Pointer {
		out.Set(reflect.New(out.Type().Elem()))
		out = out.Elem()
	}
	if setter, ok := out.Addr().Interface().(StringSetter); ok {
		if s, ok := d.stringValue(path, v); ok {
			setter.SetString(s)
		}
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.object(path, v, out)
	case reflect.Slice:
		d.array(path, v, out)
	case reflect.String:
		if s, ok := d.stringValue(path, v); ok {
			out.SetString(s)
		}
	case reflect.Bool:
		if kind := v.Value.Kind(); kind != 't' && kind != 'f' {
			d.mismatch(path, "true or false", v)
			return
		}
		out.SetBool(v.Value.Kind() == 't')
	default:
		d.number(path, v, out)
	}
}

func (d *decoder) stringValue(path string, v *hujson.Value) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.mismatch(path, "a string", v)
		return "", false
	}
	return literal.String(), true
}

func (d *decoder) object(path string, v *hujson.Value, out reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.mismatch(path, "an object", v)
		return
	}
	fields := fieldsOf(out.Type())
	seen := map[string]bool{}
	for i := range object.Members {
		name := object.Members[i].Name.Value.(hujson.Literal).String()
		child := join(path, name)
		index, known := fields[name]
		line, column := 0, 0
		if (!known || seen[name]) && len(d.findings) < maxFindings {
			line, column = d.positions.lineColumn(object.Members[i].Name.StartOffset)
		}
		switch {
		case !known:
			d.add(Finding{line, column, join(path, printable(name)), unknownFieldText(name, fields)})
		case seen[name]:
			d.add(Finding{line, column, child, "field is given twice"})
		default:
			seen[name] = true
			d.value(child, &object.Members[i].Value, out.Field(index))
		}
	}
}

func (d *decoder) array(path string, v *hujson.Value, out reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.mismatch(path, "an array", v)
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.value(path+"["+strconv.Itoa(i)+"]", &array.Elements[i], out.Index(i))
	}
}

func (d *decoder) number(path string, v *hujson.Value, out reflect.Value) {
	if out.CanFloat() {
		d.float(path, v, out)
		return
	}
	want := "a whole number"
	if strings.HasSuffix(path, "Ms") {
		want = "a whole number of milliseconds"
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.mismatch(path, want, v)
		return
	}
	n, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || n != math.Trunc(n) {
		d.report(path, "expected "+want)
		return
	}
	if i, exact := parseInteger(string(literal), n); exact && setInteger(out, i) {
		return
	}
	d.report(path, "number is out of range: expected "+rangeOf(out))
}

func (d *decoder) float(path string, v *hujson.Value, out reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.mismatch(path, "a number", v)
		return
	}
	n, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || out.OverflowFloat(n) {
		d.report(path, "number is out of range")
		return
	}
	out.SetFloat(n)
}

// parseInteger returns the integer of a literal in any notation, such as 1e3; n
// is the literal's value as a float64. It returns false if the literal is not in
// integer notation and a float64 cannot represent it exactly.
func parseInteger(literal string, n float64) (int64, bool) {
	if i, err := strconv.ParseInt(literal, 10, 64); err == nil {
		return i, true
	}
	const exactFloat = 1 << 53
	return int64(n), math.Abs(n) <= exactFloat
}

// setInteger sets out to i. It returns false if i is out of out's range.
func setInteger(out reflect.Value, i int64) bool {
	if out.CanInt() {
		if out.OverflowInt(i) {
			return false
		}
		out.SetInt(i)
		return true
	}
	if i < 0 || out.OverflowUint(uint64(i)) {
		return false
	}
	out.SetUint(uint64(i))
	return true
}

func rangeOf(out reflect.Value) string {
	bits := out.Type().Bits()
	if out.CanUint() {
		return "0 to " + strconv.FormatUint(math.MaxUint64>>(64-bits), 10)
	}
	return strconv.FormatInt(math.MinInt64>>(64-bits), 10) + " to " + strconv.FormatInt(math.MaxInt64>>(64-bits), 10)
}

// mismatch reports a value of the wrong kind. The finding does not contain the
// value, which may be a secret.
func (d *decoder) mismatch(path, want string, v *hujson.Value) {
	kinds := map[hujson.Kind]string{'n': "null", 'f': "false", 't': "true", '"': "a string", '0': "a number", '{': "an object", '[': "an array"}
	d.report(path, "expected "+want+", found "+kinds[v.Value.Kind()])
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
