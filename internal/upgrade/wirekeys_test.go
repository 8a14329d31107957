package upgrade_test

import (
	"encoding"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/audit/trail"
	"foldlb.example/foldlb/internal/clientconn"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/gossip"
	"foldlb.example/foldlb/internal/routeset"
	"foldlb.example/foldlb/internal/upgrade"
	"foldlb.example/foldlb/internal/workerconn"
)

// wireKeysFile lists each key of the values that are encoded as CBOR, one line each: its path and its Go kind. Processes of two versions
// exchange these values, and records on disk outlive the program that wrote them: a renamed Go field must keep its key by a tag.
const wireKeysFile = "testdata/wirekeys.txt"

// TestWireKeysAreKept compares the keys with the list. New keys may be added to the list; existing ones must not change.
func TestWireKeysAreKept(t *testing.T) {
	var lines []string
	for _, root := range []struct {
		name  string
		value any
	}{
		{"parcel", upgrade.Parcel{}},
		{"reducer", core.State{}},
		{"callers", clientconn.State{}},
		{"next hops", workerconn.State{}},
		{"routes", routeset.State{}},
		{"fleet", gossip.State{}},
		{"record", trail.Record{}},
	} {
		lines = append(lines, wireKeys(root.name, reflect.TypeOf(root.value), map[reflect.Type]bool{})...)
	}
	listed, err := os.ReadFile(wireKeysFile)
	must.NoError(t, err)
	must.Eq(t, string(listed), strings.Join(lines, "\n")+"\n")
}

var (
	cborMarshaler   = reflect.TypeFor[cbor.Marshaler]()
	binaryMarshaler = reflect.TypeFor[encoding.BinaryMarshaler]()
)

// wireKeys returns the keys of a type below a path. open holds the types that enclose it, to stop at recursive ones.
func wireKeys(path string, of reflect.Type, open map[reflect.Type]bool) []string {
	if of.Implements(cborMarshaler) || of.Implements(binaryMarshaler) {
		return []string{path + " marshals itself"}
	}
	switch of.Kind() {
	case reflect.Pointer:
		return wireKeys(path, of.Elem(), open)
	case reflect.Slice, reflect.Array:
		return wireKeys(path+"[]", of.Elem(), open)
	case reflect.Map:
		return wireKeys(path+"{}", of.Elem(), open)
	case reflect.Struct:
		return structKeys(path, of, open)
	}
	return []string{path + " " + of.Kind().String()}
}

// structKeys returns the keys of a structure's fields.
func structKeys(path string, of reflect.Type, open map[reflect.Type]bool) (lines []string) {
	if open[of] {
		return []string{path + " again"}
	}
	open[of] = true
	defer delete(open, of)
	asArray, place := false, 0
	for i := range of.NumField() {
		field := of.Field(i)
		key, options, _ := strings.Cut(field.Tag.Get("cbor"), ",")
		if field.Name == "_" {
			asArray = strings.Contains(options, "toarray")
			continue
		}
		if !field.IsExported() || key == "-" {
			continue
		}
		switch {
		case asArray:
			key = fmt.Sprintf("#%d", place)
			place++
		case key == "":
			key = field.Name
		}
		lines = append(lines, wireKeys(path+"."+key, field.Type, open)...)
	}
	return lines
}
