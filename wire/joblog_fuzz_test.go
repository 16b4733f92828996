package wire_test

import (
	"testing"

	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/wire"
)

// Guards against a record of the job log that ends all processes that follow it, or that names a position before the first item.
func FuzzJobDecoder(f *testing.F) {
	for _, limit := range []int{2048, 1 << 18} {
		records, err := wire.EncodeJobChanges(gateway.AppendID{Writer: 3, Number: 4}, jobChanges, wire.NewestJobLogFormat, limit)
		if err != nil {
			f.Fatal(err)
		}
		for _, r := range records {
			f.Add(r.Key, r.Value, "j/x/1", []byte{0xa0})
		}
	}
	f.Add("r/j/-1/3.4", []byte{0xa0}, "p/j/-1", []byte{0xa0})
	f.Add("j/j/99999999999", []byte{0xa2}, "j/j/0", []byte(nil))
	f.Fuzz(func(t *testing.T, key string, value []byte, nextKey string, nextValue []byte) {
		var d wire.JobDecoder
		for _, record := range []struct {
			key   string
			value []byte
		}{{key, value}, {nextKey, nextValue}} {
			r, err := d.Decode(record.key, record.value)
			if err != nil {
				continue
			}
			switch c := r.Change.(type) {
			case gateway.JobResultAppended:
				if c.Index < 0 {
					t.Fatalf("result at position %d", c.Index)
				}
			case gateway.ProgressSaved:
				if c.Index < 0 {
					t.Fatalf("progress at position %d", c.Index)
				}
			default:
			}
		}
	})
}
