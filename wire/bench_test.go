package wire

import (
	"fmt"
	"strings"
	"testing"

	cs "github.com/crocusstile/crocusstile"
)

// newBatch returns a batch of ended items with outputs of 400 bytes.
func newBatch(records int) cs.LogBatch {
	b := cs.LogBatch{Writer: 1 << 60, VM: "vm-muc-a-01", Fence: 12345, Seq: 678}
	for i := range records {
		b.Records = append(b.Records, cs.ItemEnded{
			Job:    "0123456789abcdef0123456789abcdef",
			Result: cs.ItemResult{Index: cs.ItemIndex(i), State: cs.ItemDone, Output: strings.Repeat("x", 400), Attempts: 1},
		})
	}
	return b
}

func BenchmarkBatch(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		batch := newBatch(n)
		data, err := EncodeBatch(batch)
		if err != nil {
			b.Fatal(err)
		}
		bench := func(name string, f func() error) {
			b.Run(fmt.Sprintf("%s/records=%d", name, n), func(b *testing.B) {
				b.SetBytes(int64(len(data)))
				b.ReportAllocs()
				for b.Loop() {
					if err := f(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
		bench("encode", func() error { _, err := EncodeBatch(batch); return err })
		bench("decode", func() error { _, err := DecodeBatch(data); return err })
	}
}
