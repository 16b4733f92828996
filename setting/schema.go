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

// Schema returns the JSON schema of the settings.
func Schema() []byte { return bytes.Clone(schemaJSON) }

// schema compiles the embedded schema; it panics if that is not valid, which a test excludes.
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

// checkSpan accepts spans of at least one millisecond.
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

// checkAddress accepts an IP number with a port.
func checkAddress(v any) error {
	text, ok := v.(string)
	if !ok {
		return nil
	}
	_, err := netip.ParseAddrPort(text)
	return err
}

// validate returns what the schema finds wrong, in the order of the paths.
func validate(doc any) Errors {
	err := schema().Validate(doc)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return Errors{{Message: err.Error()}}
	}
	errs := leaves(invalid)
	slices.SortFunc(errs, func(a, b Error) int { return strings.Compare(a.Path+"\x00"+a.Message, b.Path+"\x00"+b.Message) })
	return errs
}

// leaves collects the innermost errors, which name the fields.
func leaves(e *jsonschema.ValidationError) Errors {
	if len(e.Causes) == 0 {
		return explain(e)
	}
	var errs Errors
	for _, cause := range e.Causes {
		errs = append(errs, leaves(cause)...)
	}
	return errs
}

// explain turns a violation into errors that say what would be right.
func explain(e *jsonschema.ValidationError) Errors {
	at := e.InstanceLocation
	path := strings.Join(at, ".")
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return each(k.Missing, func(name string) Error {
			return Error{join(path, name), "is missing; should be the " + describe(at, name)}
		})
	case *kind.AdditionalProperties:
		return each(k.Properties, func(name string) Error {
			return Error{join(path, name), "is unknown; should be one of " + strings.Join(known(at), ", ")}
		})
	case *kind.Type:
		return Errors{{path, "is of type " + k.Got + "; should be " + expected(at, k)}}
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
		return Errors{{path, fmt.Sprintf("is %q; should be %s", k.Got, example[k.Want])}}
	}
	return Errors{{path, e.Error()}}
}

// example says what a format looks like.
var example = map[string]string{
	"span":    `a time of at least 1ms, such as "250ms" or "3s"`,
	"address": `an IP number and port, such as "10.0.1.7:8080"`,
}

// expected says what stands in the place of a value of the wrong type.
func expected(at []string, k *kind.Type) string {
	if len(at) == 0 {
		return "a JSON object with the fields " + strings.Join(known(at), ", ")
	}
	last := len(at) - 1
	if p := properties(at[:last])[at[last]]; p != nil && p.Ref != nil && p.Ref.Format != nil {
		return example[p.Ref.Format.Name]
	}
	return "of type " + strings.Join(k.Want, " or ")
}

// decimal returns a number in decimal notation.
func decimal(r *big.Rat) string {
	f, _ := r.Float64()
	return strconv.FormatFloat(f, 'f', -1, 64)
}

func each(names []string, f func(string) Error) Errors {
	errs := make(Errors, len(names))
	for i, name := range names {
		errs[i] = f(name)
	}
	return errs
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// properties returns the schemas of the fields of the object at a location.
func properties(at []string) map[string]*jsonschema.Schema {
	s := schema()
	for _, name := range at {
		if s = s.Properties[name]; s == nil {
			return nil
		}
	}
	return s.Properties
}

// known returns the names of the fields of the object at a location.
func known(at []string) []string { return slices.Sorted(maps.Keys(properties(at))) }

// describe returns the description of a field.
func describe(at []string, name string) string {
	if p := properties(at)[name]; p != nil && p.Description != "" {
		return strings.TrimPrefix(p.Description, "the ")
	}
	return "value of " + name
}
