package failover

import "encoding/binary"

// Values of the first byte of an encoded record. The first format has no old members.
const (
	recordFormatV1 = 1
	recordFormatV2 = 2
)

// Record is everything that a member persists.
type Record struct {
	Identity   string
	VotedEpoch uint64 // newest epoch that the member has voted in, or accepted from a leader
	VotedFor   string // identity of the leader accepted in VotedEpoch, otherwise of the candidate voted for
	Version    Version
	Contents   Contents
}

// Encode returns the binary form of the record for Storage. It has no checksum.
func (record Record) Encode() []byte {
	encoded := make([]byte, 0, 64+64*len(record.Contents.Members)+len(record.Contents.State))
	encoded = append(encoded, recordFormatV2)
	encoded = appendString(encoded, record.Identity)
	encoded = binary.AppendUvarint(encoded, record.VotedEpoch)
	encoded = appendString(encoded, record.VotedFor)
	encoded = binary.AppendUvarint(encoded, record.Version.Epoch)
	encoded = binary.AppendUvarint(encoded, record.Version.Seq)
	encoded = appendMembers(encoded, record.Contents.Members)
	encoded = appendMembers(encoded, record.Contents.OldMembers)
	return append(encoded, record.Contents.State...)
}

func appendMembers(encoded []byte, members []Member) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(len(members)))
	for _, member := range members {
		encoded = appendString(encoded, member.ID)
		encoded = appendString(encoded, member.Address)
		encoded = appendString(encoded, member.Zone)
	}
	return encoded
}

// DecodeRecord decodes the result of Encode. Errors are CorruptRecordError.
func DecodeRecord(encoded []byte) (Record, error) {
	if len(encoded) == 0 || encoded[0] != recordFormatV2 && encoded[0] != recordFormatV1 {
		return Record{}, CorruptRecordError{Reason: "unknown record format"}
	}
	reader := recordReader{rest: encoded[1:]}
	record := Record{
		Identity:   reader.string(),
		VotedEpoch: reader.number(),
		VotedFor:   reader.string(),
	}
	record.Version.Epoch = reader.number()
	record.Version.Seq = reader.number()
	record.Contents.Members = reader.members()
	if encoded[0] == recordFormatV2 {
		record.Contents.OldMembers = reader.members()
	}
	if reader.isTruncated {
		return Record{}, CorruptRecordError{Reason: "truncated"}
	}
	record.Contents.State = reader.rest
	return record, nil
}

func appendString(encoded []byte, text string) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(len(text)))
	return append(encoded, text...)
}

// recordReader reads consecutive fields. After a field that is truncated it returns zero values.
type recordReader struct {
	rest        []byte
	isTruncated bool
}

func (reader *recordReader) number() uint64 {
	number, length := binary.Uvarint(reader.rest)
	if length <= 0 {
		reader.isTruncated = true
		reader.rest = nil
		return 0
	}
	reader.rest = reader.rest[length:]
	return number
}

func (reader *recordReader) members() []Member {
	var members []Member
	for count := reader.number(); count > 0 && !reader.isTruncated; count-- {
		member := Member{ID: reader.string(), Address: reader.string(), Zone: reader.string()}
		members = append(members, member)
	}
	return members
}

func (reader *recordReader) string() string {
	length := reader.number()
	if length > uint64(len(reader.rest)) {
		reader.isTruncated = true
		reader.rest = nil
		return ""
	}
	text := string(reader.rest[:length])
	reader.rest = reader.rest[length:]
	return text
}
