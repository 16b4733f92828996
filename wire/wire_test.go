package wire

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// sealed maps the marker method of each sealed interface to the interface.
var sealed = map[string]reflect.Type{
	"isRecord":      reflect.TypeFor[cs.Record](),
	"isPeerMessage": reflect.TypeFor[cs.PeerMessage](),
	"isShardQuery":  reflect.TypeFor[cs.ShardQuery](),
	"isShardAnswer": reflect.TypeFor[cs.ShardAnswer](),
	"isTarget":      reflect.TypeFor[cs.Target](),
	"isScopeState":  reflect.TypeFor[cs.ScopeState](),
}

// fill sets every field to a value other than zero; n selects implementations of interfaces.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 3, 3))
		for i := range 3 {
			fill(v.Index(i), n)
		}
	case reflect.Interface:
		var types []reflect.Type
		for _, t := range tags {
			if reflect.TypeOf(t.value).Implements(v.Type()) {
				types = append(types, reflect.TypeOf(t.value))
			}
		}
		e := reflect.New(types[*n%len(types)]).Elem()
		fill(e, n)
		v.Set(e)
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d \xff", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*n) / 7)
	case reflect.Uint8, reflect.Uint16, reflect.Uint64:
		v.SetUint(uint64(*n % 200))
	default:
		v.SetInt(int64(-*n))
	}
}

// TestRoundTrip guards against fields or interface values that are lost or come back as pointers.
func TestRoundTrip(t *testing.T) {
	for _, tag := range tags {
		for n := range 12 {
			v := reflect.New(reflect.TypeOf(tag.value)).Elem()
			fill(v, &n)
			switch x := v.Interface().(type) {
			case cs.Record:
				checkBatch(t, x)
			case cs.PeerMessage:
				checkMessage(t, x)
			case cs.ShardQuery:
				checkMessage(t, cs.Forward{Query: x})
			case cs.ShardAnswer:
				checkMessage(t, cs.Forwarded{Answer: x})
			case cs.Target:
				checkBatch(t, cs.JobItems{Items: []cs.Item{{Target: x}}})
			case cs.ScopeState:
				checkBatch(t, cs.TicketFiled{Ticket: cs.Ticket{State: x}})
			default:
				t.Fatalf("%T belongs to no sealed interface", x)
			}
		}
	}
}

func checkBatch(t *testing.T, r cs.Record) {
	in := cs.LogBatch{Writer: 7, VM: "a", Fence: cs.NoOffset, Seq: 2, Records: []cs.Record{r, cs.Released{}}}
	data, err := EncodeBatch(in)
	qt.Assert(t, err, qt.IsNil)
	out, err := DecodeBatch(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out, qt.DeepEquals, in)
}

func checkMessage(t *testing.T, m cs.PeerMessage) {
	data, err := EncodeMessage(m)
	qt.Assert(t, err, qt.IsNil)
	out, err := DecodeMessage(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out, qt.DeepEquals, m)
}

// TestAllRegistered guards against an implementation of a sealed interface without a tag number.
func TestAllRegistered(t *testing.T) {
	source := func(f fs.FileInfo) bool { return !strings.HasSuffix(f.Name(), "_test.go") }
	packages, err := parser.ParseDir(token.NewFileSet(), "..", source, 0) //nolint:staticcheck // no build tags here
	qt.Assert(t, err, qt.IsNil)
	found := 0
	for _, file := range packages["crocusstile"].Files {
		for _, decl := range file.Decls {
			f, ok := decl.(*ast.FuncDecl)
			if !ok || f.Recv == nil || !strings.HasPrefix(f.Name.Name, "is") {
				continue
			}
			iface, ok := sealed[f.Name.Name]
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("marker method %s has no entry in sealed", f.Name.Name))
			name := f.Recv.List[0].Type.(*ast.Ident).Name
			found++
			qt.Check(t, slices.ContainsFunc(tags, func(x tagged) bool {
				typ := reflect.TypeOf(x.value)
				return typ.Name() == name && typ.Implements(iface)
			}), qt.IsTrue, qt.Commentf("%s has no tag", name))
		}
	}
	qt.Assert(t, found, qt.Equals, len(tags))
}

// TestFaultyInput guards against inputs that exceed a limit or leave a nil behind an interface.
func TestFaultyInput(t *testing.T) {
	_, err := DecodeMessage(make([]byte, MaxMessage+1))
	qt.Check(t, errors.Is(err, ErrTooLarge), qt.IsTrue)
	_, err = EncodeMessage(cs.ItemReturned{Output: strings.Repeat("x", int(MaxMessage))})
	qt.Check(t, errors.Is(err, ErrTooLarge), qt.IsTrue)
	_, err = DecodeMessage([]byte{0xf6}) // null
	qt.Check(t, errors.Is(err, ErrEmpty), qt.IsTrue)
	_, err = EncodeBatch(cs.LogBatch{Records: []cs.Record{nil}})
	qt.Check(t, errors.Is(err, ErrEmpty), qt.IsTrue)
	_, err = DecodeMessage([]byte{0xd9, 0x9c, 0x41, 0xa0}) // a record's tag
	qt.Check(t, err, qt.IsNotNil)
	job := cs.SubmitJob{Items: make([]cs.Item, MaxElements+1)}
	data, err := EncodeMessage(cs.Forward{Query: job})
	qt.Assert(t, err, qt.IsNil)
	_, err = DecodeMessage(data)
	qt.Check(t, err, qt.IsNotNil)
}

// FuzzDecode guards against a decoder that panics, and against an accepted input that cannot be
// encoded again.
func FuzzDecode(f *testing.F) {
	for n := range tags {
		v := reflect.New(reflect.TypeOf(tags[n].value)).Elem()
		fill(v, &n)
		switch x := v.Interface().(type) {
		case cs.PeerMessage:
			data, _ := EncodeMessage(x)
			f.Add(data)
		case cs.Record:
			data, _ := EncodeBatch(cs.LogBatch{Records: []cs.Record{x}})
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := DecodeMessage(data); err == nil {
			_, err = EncodeMessage(m)
			qt.Assert(t, err, qt.IsNil)
		}
		if b, err := DecodeBatch(data); err == nil {
			_, err = EncodeBatch(b)
			qt.Assert(t, err, qt.IsNil)
		}
	})
}
