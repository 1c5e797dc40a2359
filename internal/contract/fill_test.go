package contract

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"
)

// update rewrites the golden files. It is meant for added layouts only.
var update = flag.Bool("update", false, "write the golden files")

// fill sets every field in a value, each by its name in the contract, so that two fields that swapped
// their names get different values.
func fill(v reflect.Value, name string, nameOf func(reflect.StructField) string) {
	h := fnv.New32a()
	h.Write([]byte(name))
	n := int(h.Sum32() % 1000)
	switch x := v.Addr().Interface().(type) {
	case *json.RawMessage:
		*x = json.RawMessage(fmt.Sprintf(`{"n":%d}`, n))
		return
	case *time.Time:
		*x = time.Unix(int64(n), 0).UTC()
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), name, nameOf)
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if label := nameOf(f); f.IsExported() && label != "-" {
				fill(v.Field(i), label, nameOf)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), fmt.Sprintf("%s%d", name, i), nameOf)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, name+"-key", nameOf)
		fill(value, name, nameOf)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprintf("%s-%d", name, n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(n) + 0.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(n))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(n % 256))
	default:
		panic("no test value for type " + v.Type().String())
	}
}

// filled returns a value of the same type as like with every field set.
func filled(like any, nameOf func(reflect.StructField) string) reflect.Value {
	v := reflect.New(reflect.TypeOf(like)).Elem()
	fill(v, "", nameOf)
	return v
}

// tagged returns a function that names a field by a tag, or by its position if it has none.
func tagged(tag string) func(reflect.StructField) string {
	return func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get(tag), ",")
		if name == "" {
			return strconv.Itoa(f.Index[0])
		}
		return name
	}
}

// shape lists the paths of all fields in a type, nested ones as well, with their kinds.
func shape(t reflect.Type, path string, nameOf func(reflect.StructField) string) []string {
	switch t.Kind() {
	case reflect.Pointer:
		return shape(t.Elem(), path, nameOf)
	case reflect.Slice, reflect.Array:
		return shape(t.Elem(), path+"[]", nameOf)
	case reflect.Map:
		return shape(t.Elem(), path+"{"+t.Key().Kind().String()+"}", nameOf)
	case reflect.Struct:
		var out []string
		for i := range t.NumField() {
			if f := t.Field(i); f.IsExported() {
				out = append(out, shape(f.Type, strings.TrimPrefix(path+"."+nameOf(f), "."), nameOf)...)
			}
		}
		return out
	}
	return []string{path + " " + t.Kind().String()}
}

// golden compares lines with those of a golden file.
func golden(t *testing.T, name string, got []string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	text := strings.Join(got, "\n") + "\n"
	if *update {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")
	for i := range max(len(want), len(got)) {
		line := func(s []string) string {
			if i < len(s) {
				return s[i]
			}
			return "no line"
		}
		if line(got) != line(want) {
			t.Fatalf("%s:%d:\n got %s\nwant %s", path, i+1, line(got), line(want))
		}
	}
}
