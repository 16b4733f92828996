package wire

import (
	"fmt"
	"strings"
	"testing"

	cs "github.com/crocusstile/crocusstile"
)

// batchOf returns a batch of ended items with answers of 400 bytes.
func batchOf(records int) cs.LogBatch {
	b := cs.LogBatch{Writer: 1 << 60, VM: "vm-muc-a-01", Fence: 12345, Seq: 678}
	for i := range records {
		b.Records = append(b.Records, cs.ItemEnded{
			Job:    "0123456789abcdef0123456789abcdef",
			Result: cs.ItemResult{Index: cs.ItemIndex(i), State: cs.ItemDone, Output: strings.Repeat("x", 400), Attempts: 1},
		})
	}
	return b
}

func BenchmarkEncodeBatch(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			batch := batchOf(n)
			b.ReportAllocs()
			for b.Loop() {
				data, err := EncodeBatch(batch)
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(data)))
			}
		})
	}
}

func BenchmarkDecodeBatch(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			data, err := EncodeBatch(batchOf(n))
			if err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := DecodeBatch(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
