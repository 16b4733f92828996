package setting

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/santhosh-tekuri/jsonschema/v6"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// TestInvalidSettingsMessages guards against invalid settings that are accepted, and against messages
// that do not name the field and what is valid: each testdata/NAME.json has its expected messages in
// NAME.txt, which is empty for valid settings.
func TestInvalidSettingsMessages(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 3, qt.IsTrue)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, err := os.ReadFile(strings.TrimSuffix(file, ".json") + ".txt")
			qt.Assert(t, err, qt.IsNil)
			got := ""
			if _, err := Load(file); err != nil {
				var errs Errors
				qt.Assert(t, errors.As(err, &errs), qt.IsTrue)
				got = errs.Error() + "\n"
			}
			qt.Assert(t, got, qt.Equals, string(want))
		})
	}
}

// TestParsedValues guards against fields of the file that are missing from the parsed settings, and
// against defaults that replace an explicit zero.
func TestParsedValues(t *testing.T) {
	s, err := Load("testdata/full.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Self(7), qt.Equals, cs.VM{ID: "e1", Incarnation: 7, DataCentre: "muc-a", Address: "10.0.0.1:8080"})
	qt.Assert(t, s.List, qt.Equals, List{Address: "10.0.9.2:9001", Poll: 500 * cs.Millisecond})
	c := s.Control()
	qt.Assert(t, c.Weight, qt.Equals, cs.Ratio(0))
	qt.Assert(t, c.Lease, qt.Equals, 12*cs.Second)
	qt.Assert(t, c.Policy, qt.Equals, fleet.Policy{NoBatch: true})
	qt.Assert(t, c.Renewal, qt.Equals, fleet.DefaultConfig().Renewal)

	s, err = Load("testdata/least.json")
	qt.Assert(t, err, qt.IsNil)
	want := Default()
	want.VM, want.Listen, want.Advertise = VM{"e1", "muc-a"}, "127.0.0.1:8080", "127.0.0.1:8080"
	want.Log.Address, want.List.Address = "127.0.0.1:9000", "127.0.0.1:9001"
	qt.Assert(t, s, qt.Equals, want)
}

// TestSchemaMatchesDefaults guards against a field of Settings that is missing from the schema, so that
// no file can set it, and against a default in the schema that differs from Default.
func TestSchemaMatchesDefaults(t *testing.T) {
	checkDefaults(t, "", reflect.ValueOf(Default()), schema())
}

// checkDefaults compares the fields of a struct and their values with a schema and its defaults.
func checkDefaults(t *testing.T, path string, v reflect.Value, s *jsonschema.Schema) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			name = strings.ToLower(f.Name[:1]) + f.Name[1:]
		}
		p, ok := s.Properties[name]
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s%s is not in schema.json", path, name))
		if v.Field(i).Kind() == reflect.Struct {
			checkDefaults(t, path+name+".", v.Field(i), p)
			continue
		}
		if p.Default == nil {
			qt.Assert(t, v.Field(i).IsZero(), qt.IsTrue, qt.Commentf("%s%s has no default in schema.json", path, name))
			continue
		}
		want, err := json.Marshal(*p.Default)
		qt.Assert(t, err, qt.IsNil)
		got := reflect.New(f.Type)
		qt.Assert(t, json.Unmarshal(want, got.Interface()), qt.IsNil)
		qt.Assert(t, got.Elem().Interface(), qt.Equals, v.Field(i).Interface(), qt.Commentf("default of %s%s", path, name))
	}
	qt.Assert(t, len(s.Properties), qt.Equals, v.NumField(), qt.Commentf("fields of %q in schema.json", path))
}
