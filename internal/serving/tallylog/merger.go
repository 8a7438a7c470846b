package tallylog

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

// maxMergedAdds is the number of adds at which the merger ends a frame and begins another one.
const maxMergedAdds = 1024

// merger encodes records again, in few frames: it joins consecutive records of an origin and drops
// duplicates. It keeps the order of each origin's records, but not the order between different origins.
type merger struct {
	frames   []byte
	origins  map[string]*originTail
	afterGap []*wirepb.TallyRecords // records that follow a gap in the sequence of their origin
}

// originTail is the end of one origin's records.
type originTail struct {
	next    uint64               // sequence number after the last record without a gap
	pending *wirepb.TallyRecords // the last records before next, which are not encoded yet
}

func newMerger() *merger { return &merger{origins: map[string]*originTail{}} }

// add adds the records of a frame.
func (m *merger) add(batch []*wirepb.TallyRecords) error {
	for _, records := range batch {
		if err := m.addRecords(records); err != nil {
			return err
		}
	}
	return nil
}

// addRecords adds records of one origin.
func (m *merger) addRecords(records *wirepb.TallyRecords) error {
	if records.First == 0 || len(records.Adds) == 0 {
		return nil
	}
	tail := m.origins[records.Origin]
	if tail == nil {
		tail = &originTail{next: 1, pending: &wirepb.TallyRecords{Origin: records.Origin, First: 1}}
		m.origins[records.Origin] = tail
	}
	if records.First > tail.next {
		m.afterGap = append(m.afterGap, records)
		return nil
	}
	known := tail.next - records.First
	if known >= uint64(len(records.Adds)) {
		return nil
	}
	added := records.Adds[known:]
	tail.pending.Adds = append(tail.pending.Adds, added...)
	tail.next += uint64(len(added))
	if len(tail.pending.Adds) < maxMergedAdds {
		return nil
	}
	err := m.encode(tail.pending)
	tail.pending = &wirepb.TallyRecords{Origin: records.Origin, First: tail.next}
	return err
}

// finish returns the frames of all records, including those that still follow a gap. The merger must not
// be used afterwards.
func (m *merger) finish() ([]byte, error) {
	afterGap := m.afterGap
	m.afterGap = nil
	slices.SortFunc(afterGap, func(a, b *wirepb.TallyRecords) int { return cmp.Compare(a.First, b.First) })
	if err := m.add(afterGap); err != nil {
		return nil, err
	}
	for _, tail := range m.origins {
		if err := m.encode(tail.pending); err != nil {
			return nil, err
		}
	}
	for _, records := range m.afterGap {
		if err := m.encode(records); err != nil {
			return nil, err
		}
	}
	return m.frames, nil
}

// encode appends a frame with records to frames.
func (m *merger) encode(records *wirepb.TallyRecords) error {
	if len(records.Adds) == 0 {
		return nil
	}
	frame, err := encodeFrame([]*wirepb.TallyRecords{records})
	m.frames = append(m.frames, frame...)
	return err
}

// encodeFrame returns the frame that contains records.
func encodeFrame(records []*wirepb.TallyRecords) ([]byte, error) {
	payload, err := proto.Marshal(&wirepb.TallyLogFrame{Records: records})
	if err != nil {
		return nil, errors.Wrap(err, "cannot encode records of tallies")
	}
	return wal.AppendFrame(nil, payload), nil
}
