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

// sealedInterfaces maps the marker method of each sealed interface to the interface.
var sealedInterfaces = map[string]reflect.Type{
	"isRecord":      reflect.TypeFor[cs.Record](),
	"isPeerMessage": reflect.TypeFor[cs.PeerMessage](),
	"isShardQuery":  reflect.TypeFor[cs.ShardQuery](),
	"isShardReply":  reflect.TypeFor[cs.ShardReply](),
	"isTarget":      reflect.TypeFor[cs.Target](),
	"isScopeState":  reflect.TypeFor[cs.ScopeState](),
}

// fill sets every field to a non-zero value, which differs with n; n also selects the implementation of
// an interface.
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
			if reflect.TypeOf(t.zero).Implements(v.Type()) {
				types = append(types, reflect.TypeOf(t.zero))
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

// Encoding and decoding must neither lose fields or interface values nor turn values into pointers.
func TestRoundTrip(t *testing.T) {
	for _, tag := range tags {
		for n := range 12 {
			v := reflect.New(reflect.TypeOf(tag.zero)).Elem()
			fill(v, &n)
			switch x := v.Interface().(type) {
			case cs.Record:
				checkBatchRoundTrip(t, x)
			case cs.PeerMessage:
				checkMessageRoundTrip(t, x)
			case cs.ShardQuery:
				checkMessageRoundTrip(t, cs.Forward{Query: x})
			case cs.ShardReply:
				checkMessageRoundTrip(t, cs.Forwarded{Answer: x})
			case cs.Target:
				checkBatchRoundTrip(t, cs.JobItems{Items: []cs.Item{{Target: x}}})
			case cs.ScopeState:
				checkBatchRoundTrip(t, cs.TicketRecorded{Ticket: cs.Ticket{State: x}})
			default:
				t.Fatalf("%T implements no sealed interface", x)
			}
		}
	}
}

func checkBatchRoundTrip(t *testing.T, r cs.Record) {
	in := cs.LogBatch{Writer: 7, VM: "a", Fence: cs.NoOffset, Seq: 2, Records: []cs.Record{r, cs.Released{}}}
	data, err := EncodeBatch(in)
	qt.Assert(t, err, qt.IsNil)
	out, err := DecodeBatch(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out, qt.DeepEquals, in)
}

func checkMessageRoundTrip(t *testing.T, m cs.PeerMessage) {
	data, err := EncodeMessage(m)
	qt.Assert(t, err, qt.IsNil)
	out, err := DecodeMessage(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out, qt.DeepEquals, m)
}

// Every implementation of a sealed interface must have a tag number.
func TestEveryTypeHasTag(t *testing.T) {
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
			iface, ok := sealedInterfaces[f.Name.Name]
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("marker method %s is missing in sealedInterfaces", f.Name.Name))
			name := f.Recv.List[0].Type.(*ast.Ident).Name
			found++
			qt.Check(t, slices.ContainsFunc(tags, func(x taggedType) bool {
				typ := reflect.TypeOf(x.zero)
				return typ.Name() == name && typ.Implements(iface)
			}), qt.IsTrue, qt.Commentf("%s has no tag", name))
		}
	}
	qt.Assert(t, found, qt.Equals, len(tags))
}

// Input that exceeds a limit or has a nil interface value must be refused.
func TestMalformedInput(t *testing.T) {
	_, err := DecodeMessage(make([]byte, MaxMessage+1))
	qt.Check(t, errors.Is(err, ErrTooLarge), qt.IsTrue)
	_, err = EncodeMessage(cs.ItemOutcome{Output: strings.Repeat("x", int(MaxMessage))})
	qt.Check(t, errors.Is(err, ErrTooLarge), qt.IsTrue)
	_, err = DecodeMessage([]byte{0xf6}) // null
	qt.Check(t, errors.Is(err, ErrMissingValue), qt.IsTrue)
	_, err = EncodeBatch(cs.LogBatch{Records: []cs.Record{nil}})
	qt.Check(t, errors.Is(err, ErrMissingValue), qt.IsTrue)
	_, err = DecodeMessage([]byte{0xd9, 0x9c, 0x41, 0xa0}) // the tag of a record, which is not a message
	qt.Check(t, err, qt.IsNotNil)
	job := cs.SubmitJob{Items: make([]cs.Item, MaxElements+1)}
	data, err := EncodeMessage(cs.Forward{Query: job})
	qt.Assert(t, err, qt.IsNil)
	_, err = DecodeMessage(data)
	qt.Check(t, err, qt.IsNotNil)
}

// Decoding must not panic on any input, and input that it accepts must be encodable again.
func FuzzDecode(f *testing.F) {
	for n := range tags {
		v := reflect.New(reflect.TypeOf(tags[n].zero)).Elem()
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
