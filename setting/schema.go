package setting

import (
	"bytes"
	_ "embed"
	"fmt"
	"maps"
	"math/big"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	cs "github.com/crocusstile/crocusstile"
)

//go:embed schema.json
var schemaJSON []byte

// Schema returns the JSON schema of the settings file.
func Schema() []byte { return bytes.Clone(schemaJSON) }

// schema returns the compiled embedded schema. It panics if the schema is invalid, which the tests of
// this package would detect.
var schema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	c.RegisterFormat(&jsonschema.Format{Name: "span", Validate: checkSpan})
	c.RegisterFormat(&jsonschema.Format{Name: "address", Validate: checkAddress})
	c.AssertFormat()
	if err := c.AddResource("settings.json", doc); err != nil {
		panic(err)
	}
	return c.MustCompile("settings.json")
})

// checkSpan validates a time span, which must be at least one millisecond.
func checkSpan(v any) error {
	text, ok := v.(string)
	if !ok {
		return nil
	}
	var s cs.Span
	if err := s.UnmarshalText([]byte(text)); err != nil {
		return err
	}
	if s < cs.Millisecond {
		return errors.New("is shorter than 1ms")
	}
	return nil
}

// checkAddress validates an address, which must be an IP address with a port.
func checkAddress(v any) error {
	text, ok := v.(string)
	if !ok {
		return nil
	}
	_, err := netip.ParseAddrPort(text)
	return err
}

// validate checks a document against the schema and returns the violations, ordered by path.
func validate(doc any) Errors {
	err := schema().Validate(doc)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return Errors{{Message: err.Error()}}
	}
	errs := leafErrors(invalid)
	slices.SortFunc(errs, func(a, b Error) int { return strings.Compare(a.Path+"\x00"+a.Message, b.Path+"\x00"+b.Message) })
	return errs
}

// leafErrors collects the errors at the leaves of the error tree, which name the invalid fields.
func leafErrors(e *jsonschema.ValidationError) Errors {
	if len(e.Causes) == 0 {
		return violationErrors(e)
	}
	var errs Errors
	for _, cause := range e.Causes {
		errs = append(errs, leafErrors(cause)...)
	}
	return errs
}

// violationErrors converts a violation of the schema to errors that state what is valid.
func violationErrors(e *jsonschema.ValidationError) Errors {
	location := e.InstanceLocation
	path := strings.Join(location, ".")
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return errorPerName(k.Missing, func(name string) Error {
			return Error{join(path, name), "is missing; should be the " + description(location, name)}
		})
	case *kind.AdditionalProperties:
		return errorPerName(k.Properties, func(name string) Error {
			return Error{join(path, name), "is unknown; should be one of " + strings.Join(fieldNames(location), ", ")}
		})
	case *kind.Type:
		return Errors{{path, "is of type " + k.Got + "; should be " + expectedType(location, k)}}
	case *kind.Enum:
		return Errors{{path, fmt.Sprintf("is %v; should be one of %v", k.Got, k.Want)}}
	case *kind.Minimum:
		return Errors{{path, "is " + decimal(k.Got) + "; should be at least " + decimal(k.Want)}}
	case *kind.Maximum:
		return Errors{{path, "is " + decimal(k.Got) + "; should be at most " + decimal(k.Want)}}
	case *kind.MinLength:
		return Errors{{path, fmt.Sprintf("is empty; should have at least %d character", k.Want)}}
	case *kind.MaxLength:
		return Errors{{path, fmt.Sprintf("has %d characters; should have at most %d", k.Got, k.Want)}}
	case *kind.Format:
		return Errors{{path, fmt.Sprintf("is %q; should be %s", k.Got, formatExamples[k.Want])}}
	}
	return Errors{{path, e.Error()}}
}

// formatExamples describes the formats of the schema in error messages, with examples.
var formatExamples = map[string]string{
	"span":    `a time of at least 1ms, such as "250ms" or "3s"`,
	"address": `an IP number and port, such as "10.0.1.7:8080"`,
}

// expectedType describes the value that is valid in place of one of the wrong type.
func expectedType(location []string, k *kind.Type) string {
	if len(location) == 0 {
		return "a JSON object with the fields " + strings.Join(fieldNames(location), ", ")
	}
	last := len(location) - 1
	if p := properties(location[:last])[location[last]]; p != nil && p.Ref != nil && p.Ref.Format != nil {
		return formatExamples[p.Ref.Format.Name]
	}
	return "of type " + strings.Join(k.Want, " or ")
}

// decimal formats a number without an exponent.
func decimal(r *big.Rat) string {
	f, _ := r.Float64()
	return strconv.FormatFloat(f, 'f', -1, 64)
}

// errorPerName returns the error that f returns for each name.
func errorPerName(names []string, f func(string) Error) Errors {
	errs := make(Errors, len(names))
	for i, name := range names {
		errs[i] = f(name)
	}
	return errs
}

// join appends a field name to a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// properties returns the schemas of the fields of the object at a location, or nil if the schema has no
// such object.
func properties(location []string) map[string]*jsonschema.Schema {
	s := schema()
	for _, name := range location {
		if s = s.Properties[name]; s == nil {
			return nil
		}
	}
	return s.Properties
}

// fieldNames returns the sorted names of the fields of the object at a location.
func fieldNames(location []string) []string { return slices.Sorted(maps.Keys(properties(location))) }

// description returns the description of a field in the schema, without its leading article.
func description(location []string, name string) string {
	if p := properties(location)[name]; p != nil && p.Description != "" {
		return strings.TrimPrefix(p.Description, "the ")
	}
	return "value of " + name
}
