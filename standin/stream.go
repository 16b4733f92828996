package standin

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// LogRecord is a record of a stream, in the JSON format of the log.
type LogRecord struct {
	Offset  cs.Offset  `json:"offset"`
	Time    cs.Instant `json:"timeMs"`
	Payload []byte     `json:"payload"`
}

// LogPage is the JSON body of the log's response to a read.
type LogPage struct {
	// First is the offset of the oldest readable record.
	First cs.Offset `json:"first"`
	// Next is the offset at which the next read continues.
	Next    cs.Offset   `json:"next"`
	Records []LogRecord `json:"records"`
}

// readReply is a page of records and a channel that the next append to the stream closes.
type readReply struct {
	page     LogPage
	appended <-chan struct{}
}

// streamRow holds all records ever appended to a stream; those before first have expired and are not
// readable any more.
type streamRow struct {
	first    cs.Offset
	records  []LogRecord
	appended chan struct{}
}

// streamTable holds the streams of a log by id.
type streamTable struct {
	rows *fleet.Table[cs.StreamID, streamRow]
}

func newStreamTable() streamTable {
	return streamTable{rows: fleet.NewTable[cs.StreamID, streamRow]()}
}

func (t streamTable) getOrCreate(id cs.StreamID) *streamRow {
	if s := t.rows.Get(id); s != nil {
		return s
	}
	return t.rows.Insert(id, streamRow{appended: make(chan struct{})})
}

// applyRetention makes the records unreadable that are older than the retention time.
func (t streamTable) applyRetention(now cs.Instant, retention cs.Span) {
	if retention <= 0 {
		return
	}
	for _, s := range t.rows.All() {
		for int(s.first) < len(s.records) && now.Sub(s.records[s.first].Time) > retention {
			s.first++
		}
	}
}

func (t streamTable) append(id cs.StreamID, now cs.Instant, payload []byte) cs.Offset {
	s := t.getOrCreate(id)
	offset := cs.Offset(len(s.records))
	s.records = append(s.records, LogRecord{Offset: offset, Time: now, Payload: payload})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

func (t streamTable) read(id cs.StreamID, from cs.Offset, limit int) readReply {
	s := t.getOrCreate(id)
	from = max(from, s.first)
	page := LogPage{First: s.first, Next: from, Records: []LogRecord{}}
	if int(from) < len(s.records) {
		end := min(len(s.records), int(from)+limit)
		page.Records = s.records[from:end:end]
		page.Next = cs.Offset(end)
	}
	return readReply{page: page, appended: s.appended}
}

// history returns all records of a stream, expired ones included.
func (t streamTable) history(id cs.StreamID) []LogRecord {
	records := t.getOrCreate(id).records
	return records[:len(records):len(records)]
}
