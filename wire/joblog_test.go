package wire_test

import (
	"bytes"
	"compress/flate"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/wire"
)

var jobChanges = []gateway.JobChange{
	gateway.JobOpened{Spec: gateway.JobSpec{
		ID: "j/1", Route: "r", Host: "h", Accepted: 7,
		Items: []gateway.Item{{ID: "i", Target: "/p", Header: map[string]string{"Model": "m"}, Body: make([]byte, 5000), Tokens: 9}},
	}},
	gateway.ProgressSaved{Job: "j/1", Item: "i", Index: 0, Progress: gateway.Progress{Text: []byte("a\nb"), LastEvent: 2}},
	gateway.JobResultAppended{Job: "j/1", Index: 0, AppendID: gateway.AppendID{Writer: 3, Number: 4}, Result: gateway.Result{Item: "i", Done: true, Text: "a\nb\xffc"}},
	gateway.ProgressSaved{Job: "j/1", Item: "i", Index: 0, Progress: gateway.Progress{Text: []byte(strings.Repeat("ab", 500)), LastEvent: 3}},
	gateway.JobResultAppended{Job: "j/1", Index: 0, AppendID: gateway.AppendID{Writer: 3, Number: 4}, Result: gateway.Result{Item: "i", Done: true, Text: strings.Repeat("abc\n", 300)}},
	gateway.JobEnded{Job: "j/1"},
}

// Every change must be decoded as it was encoded. A specification in chunks must be decoded in any order
// of its chunks, since a compacted topic returns its records in the order of their keys.
func TestJobLogRoundTrip(t *testing.T) {
	for format := cs.JobLogPlain; format <= wire.NewestJobLogFormat; format++ {
		t.Run(strconv.Itoa(int(format)), func(t *testing.T) { checkRoundTrip(t, format) })
	}
}

func checkRoundTrip(t *testing.T, format cs.JobLogFormat) {
	c := qt.New(t)
	appendID := gateway.AppendID{Writer: 3, Number: 4}
	records, err := wire.EncodeJobChanges(appendID, jobChanges, format, 2048)
	c.Assert(err, qt.IsNil)
	c.Assert(len(records) > len(jobChanges), qt.IsTrue, qt.Commentf("the specification must take several records"))
	for _, reversed := range []bool{false, true} {
		var decoder wire.JobDecoder
		var got []gateway.JobChange
		for i := range records {
			r := records[i]
			if reversed {
				r = records[len(records)-1-i]
			}
			c.Assert(len(r.Value) <= 2048, qt.IsTrue)
			decoded, err := decoder.Decode(r.Key, r.Value)
			c.Assert(err, qt.IsNil)
			c.Assert(decoded.AppendID, qt.Equals, appendID)
			if decoded.Change != nil {
				got = append(got, decoded.Change)
			}
		}
		c.Assert(got, qt.HasLen, len(jobChanges))
		for i := range got {
			want := jobChanges[i]
			if reversed {
				want = jobChanges[len(got)-1-i]
			}
			c.Assert(got[i], qt.DeepEquals, want)
		}
	}
}

// Removing a job must delete all of its keys; a remaining record would stay in the compacted topic
// without a time limit.
func TestRemovalDeletesAllKeysOfJob(t *testing.T) {
	c := qt.New(t)
	spec := jobChanges[0].(gateway.JobOpened).Spec
	written, err := wire.EncodeJobChanges(gateway.AppendID{}, jobChanges, cs.JobLogPlain, 2048)
	c.Assert(err, qt.IsNil)
	removed, err := wire.EncodeJobChanges(gateway.AppendID{}, []gateway.JobChange{
		gateway.JobRemoved{Job: spec.ID, Spec: spec, ResultKeys: []gateway.ResultKey{{Index: 0, AppendID: gateway.AppendID{Writer: 3, Number: 4}}}, Progressed: []int{0}},
	}, cs.JobLogPlain, 2048)
	c.Assert(err, qt.IsNil)
	remaining := make(map[string]bool)
	for _, r := range written {
		remaining[r.Key] = true
	}
	var decoder wire.JobDecoder
	removals := 0
	for _, r := range removed {
		c.Assert(r.Value, qt.HasLen, 0)
		delete(remaining, r.Key)
		decoded, err := decoder.Decode(r.Key, r.Value)
		c.Assert(err, qt.IsNil)
		if decoded.Change != nil {
			removals++
		}
	}
	c.Assert(remaining, qt.HasLen, 0)
	c.Assert(removals, qt.Equals, 1)
}

// A record that is not in the job log's format must give an error for that record and no change.
func TestJobLogRecordInUnknownFormat(t *testing.T) {
	c := qt.New(t)
	var decoder wire.JobDecoder
	for key, value := range map[string]string{"x": "y", "j/a/b": "y", "j/a/0": "\xff\xff", "z/a/0": "\xa0"} {
		decoded, err := decoder.Decode(key, []byte(value))
		c.Assert(err, qt.IsNotNil, qt.Commentf(key))
		c.Assert(decoded.Change, qt.IsNil)
	}
}

// Guards against a job that counts as missing since its specification cannot be decoded.
func TestUndecodableSpecificationNamesItsJob(t *testing.T) {
	c := qt.New(t)
	for key, want := range map[string]cs.JobID{"j/a/0": "a", "j/a/1": "a", "r/a/0/1-1": "", "e/a/0": "", "p/a/0": "", "x/a/0": ""} {
		for _, value := range []string{"\xff\xff", "\xa1\x61k\x01"} {
			var decoder wire.JobDecoder
			decoded, err := decoder.Decode(key, []byte(value))
			if key == "e/a/0" && err == nil {
				continue // an end has no payload
			}
			c.Assert(err, qt.IsNotNil, qt.Commentf(key))
			c.Assert(decoded.Unreadable, qt.Equals, want, qt.Commentf(key))
		}
	}
}

// Guards against a position outside of a job, which would end each VM that reads the record, whenever it starts.
func TestJobLogRecordWithPositionOutOfRange(t *testing.T) {
	c := qt.New(t)
	records, err := wire.EncodeJobChanges(gateway.AppendID{}, jobChanges, cs.JobLogPlain, 1<<18)
	c.Assert(err, qt.IsNil)
	for _, r := range records {
		for _, position := range []string{"-1", "-9223372036854775808", "9223372036854775807", "4294967296", "+0", "1e3", ""} {
			parts := strings.Split(r.Key, "/") // kind, "j", "1", position and, for a result, the append ID
			parts[3] = position
			key := strings.Join(parts, "/")
			var decoder wire.JobDecoder
			decoded, err := decoder.Decode(key, r.Value)
			c.Check(err, qt.IsNotNil, qt.Commentf(key))
			c.Check(decoded.Change, qt.IsNil, qt.Commentf(key))
		}
	}
}

// Guards against an output of an item that is accepted and then does not fit into a record: its append would be
// rejected again and again.
func TestLargestOutputFitsIntoRecord(t *testing.T) {
	c := qt.New(t)
	const maxRecord = 4096
	text := strings.Repeat("x", int(wire.MaxOutput(maxRecord)))
	id := gateway.AppendID{Writer: 1 << 62, Number: 1 << 62}
	job, item := cs.JobID(strings.Repeat("j", 100)), cs.ItemID(strings.Repeat("i", 100))
	records, err := wire.EncodeJobChanges(id, []gateway.JobChange{
		gateway.JobResultAppended{Job: job, Index: 199, AppendID: id, Result: gateway.Result{Item: item, Done: true, Text: text}},
		gateway.ProgressSaved{Job: job, Item: item, Index: 199, Progress: gateway.Progress{Text: []byte(text), LastEvent: 1 << 62}},
	}, cs.JobLogPlain, maxRecord)
	c.Assert(err, qt.IsNil)
	for _, r := range records {
		c.Check(len(r.Key)+len(r.Value) <= maxRecord, qt.IsTrue, qt.Commentf("%d bytes", len(r.Key)+len(r.Value)))
	}
}

// Guards against a job that cannot be read since its chunks come from two appends: two VMs may accept the same job, and
// the pages of a snapshot are read one after another. Two encodings of a specification must be the same, but for the
// time of acceptance.
func TestChunksOfTwoAppendsMakeOneSpecification(t *testing.T) {
	c := qt.New(t)
	spec := gateway.JobSpec{ID: "j", Route: "r", Host: "h", Accepted: 1_700_000_000_000}
	for i := range 20 {
		spec.Items = append(spec.Items, gateway.Item{
			ID: cs.ItemID(strings.Repeat("i", i+1)), Target: "/p", Body: make([]byte, 100), Tokens: 9,
			Header: map[string]string{"Model": "m", "Token-Count": "540,400", "Prompt-Prefix": "9c2e41:300", "Length-Hint": "7", "X-A": "a", "X-Bc": "bc"},
		})
	}
	const maxRecord = 1024
	encode := func(number uint64, accepted cs.Instant) []wire.KeyedRecord {
		s := spec
		s.Accepted = accepted
		records, err := wire.EncodeJobChanges(gateway.AppendID{Writer: 3, Number: number}, []gateway.JobChange{gateway.JobOpened{Spec: s}}, cs.JobLogPlain, maxRecord)
		c.Assert(err, qt.IsNil)
		return records
	}
	first, second := encode(1, spec.Accepted), encode(2, spec.Accepted+5)
	c.Assert(len(first) > 4, qt.IsTrue)
	c.Assert(second, qt.HasLen, len(first))
	for cut := 1; cut < len(first); cut++ {
		var decoder wire.JobDecoder
		var last gateway.JobRecord
		for i := range first {
			r := first[i]
			if i >= cut {
				r = second[i]
			}
			var err error
			last, err = decoder.Decode(r.Key, r.Value)
			c.Assert(err, qt.IsNil, qt.Commentf("chunks from %d on are of the second append", cut))
		}
		c.Assert(last.Change, qt.DeepEquals, gateway.JobChange(gateway.JobOpened{Spec: spec}))
	}
}

// Guards against an accepted job that no VM can read, since one of its items has more headers than a record of another
// kind has fields.
func TestItemWithManyHeadersIsReadable(t *testing.T) {
	c := qt.New(t)
	header := make(map[string]string)
	for i := range 200 {
		header["X-"+strings.Repeat("a", i+1)] = "v"
	}
	want := gateway.JobOpened{Spec: gateway.JobSpec{ID: "j", Items: []gateway.Item{{ID: "i", Target: "/p", Header: header}}}}
	records, err := wire.EncodeJobChanges(gateway.AppendID{Writer: 3, Number: 4}, []gateway.JobChange{want}, cs.JobLogPlain, 1<<18)
	c.Assert(err, qt.IsNil)
	var decoder wire.JobDecoder
	got, err := decoder.Decode(records[0].Key, records[0].Value)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Change, qt.DeepEquals, gateway.JobChange(want))
}

// outputOf returns an output of random words, a letter of which holds at most 4.7 bits.
func outputOf(events int) string {
	r := rand.New(rand.NewPCG(1, 2))
	var text strings.Builder
	for range events {
		for range 60 {
			text.WriteByte(byte('a' + r.IntN(26)))
		}
		text.WriteByte('\n')
	}
	return text.String()
}

// Guards against a job log that takes more of the store's egress than its readers have: each VM reads each result, and
// reads that wait for longer than their time limit are repeated (LOST).
func TestOutputIsCompressed(t *testing.T) {
	c := qt.New(t)
	text := outputOf(134)
	records, err := wire.EncodeJobChanges(gateway.AppendID{Writer: 3, Number: 4}, []gateway.JobChange{
		gateway.JobResultAppended{Job: "j", Result: gateway.Result{Item: "i", Done: true, Text: text}},
		gateway.ProgressSaved{Job: "j", Item: "i", Progress: gateway.Progress{Text: []byte(text), LastEvent: 134}},
	}, cs.JobLogCompressed, 1<<18)
	c.Assert(err, qt.IsNil)
	for _, r := range records {
		c.Check(len(r.Value) < len(text)*2/3, qt.IsTrue, qt.Commentf("%s: %d bytes of %d", r.Key, len(r.Value), len(text)))
	}
}

// Guards against a record of another writer that ends a VM, or fills its memory, when its text is decompressed.
func TestMalformedCompressedText(t *testing.T) {
	c := qt.New(t)
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	c.Assert(err, qt.IsNil)
	_, err = w.Write(make([]byte, 8<<20))
	c.Assert(err, qt.IsNil)
	c.Assert(w.Close(), qt.IsNil)
	value, err := cbor.Marshal(map[string]any{"w": 1, "n": 1, "r": map[string]any{"i": "i"}, "z": bomb.Bytes()})
	c.Assert(err, qt.IsNil)
	records, err := wire.EncodeJobChanges(gateway.AppendID{}, []gateway.JobChange{
		gateway.JobResultAppended{Job: "j", Result: gateway.Result{Item: "i", Done: true, Text: outputOf(20)}},
	}, cs.JobLogCompressed, 1<<18)
	c.Assert(err, qt.IsNil)
	var decoder wire.JobDecoder
	_, err = decoder.Decode("r/j/0/1-1", value)
	c.Check(err, qt.ErrorMatches, ".*too long.*")
	damaged := slices.Clone(records[0].Value)
	for i := len(damaged) / 2; i < len(damaged)/2+40; i++ {
		damaged[i] ^= 0xff
	}
	_, err = decoder.Decode(records[0].Key, damaged)
	c.Check(err, qt.IsNotNil)
	decoded, err := decoder.Decode(records[0].Key, records[0].Value) // the damaged text leaves no trace in the decoder
	c.Assert(err, qt.IsNil)
	c.Check(decoded.Change.(gateway.JobResultAppended).Result.Text, qt.Equals, outputOf(20))
}

// Guards against a state of the log that is cut between the chunks of a specification, since they do not count as such.
func TestIncompleteSpecificationIsPartial(t *testing.T) {
	c := qt.New(t)
	records, err := wire.EncodeJobChanges(gateway.AppendID{Writer: 3, Number: 4}, jobChanges, cs.JobLogPlain, 2048)
	c.Assert(err, qt.IsNil)
	var decoder wire.JobDecoder
	partial := 0
	for i, r := range records {
		decoded, err := decoder.Decode(r.Key, r.Value)
		c.Assert(err, qt.IsNil)
		c.Assert(decoded.Partial, qt.Equals, decoded.Change == nil, qt.Commentf("record %d", i))
		if decoded.Partial {
			partial++
		}
	}
	c.Assert(partial, qt.Equals, len(records)-len(jobChanges))
}

// Guards against jobs of an earlier version that cannot be read, against records of deployments without workspaces that change, and
// against a workspace that is lost in the log.
func TestWorkspaceInJobLog(t *testing.T) {
	c := qt.New(t)
	type earlierSpec struct {
		ID       cs.JobID       `cbor:"j"`
		Route    cs.RouteName   `cbor:"r"`
		Host     string         `cbor:"h"`
		Accepted cs.Instant     `cbor:"a"`
		Items    []gateway.Item `cbor:"i"`
	}
	spec := jobChanges[0].(gateway.JobOpened).Spec
	encoder, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	c.Assert(err, qt.IsNil)
	earlier, err := encoder.Marshal(earlierSpec{spec.ID, spec.Route, spec.Host, spec.Accepted, spec.Items})
	c.Assert(err, qt.IsNil)
	for _, workspace := range []cs.WorkspaceID{"", "w"} {
		spec.Workspace = workspace
		records, err := wire.EncodeJobChanges(gateway.AppendID{}, []gateway.JobChange{gateway.JobOpened{Spec: spec}}, wire.NewestJobLogFormat, 1<<16)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Contains(records[0].Value, earlier), qt.Equals, workspace == "")
		var decoder wire.JobDecoder
		decoded, err := decoder.Decode(records[0].Key, records[0].Value)
		c.Assert(err, qt.IsNil)
		c.Assert(decoded.Change, qt.DeepEquals, gateway.JobChange(gateway.JobOpened{Spec: spec}))
	}
}
