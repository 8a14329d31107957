package failover

import "encoding/binary"

// The first byte of an encoded record. A record of the first format has no old members.
const (
	recordFormatSimple = 1
	recordFormat       = 2
)

// Record is all that a member keeps on its disk.
type Record struct {
	Identity   string
	VotedEpoch uint64 // newest epoch voted in, or accepted from a leader
	VotedFor   string // identity of the leader accepted in it, else of the candidate voted for
	Version    Version
	Contents   Contents
}

// Encode returns the record as bytes for Storage. The bytes carry no checksum.
func (record Record) Encode() []byte {
	encoded := make([]byte, 0, 64+64*len(record.Contents.Members)+len(record.Contents.State))
	encoded = append(encoded, recordFormat)
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

// DecodeRecord reads what Encode returned. The error is a CorruptRecordError.
func DecodeRecord(encoded []byte) (Record, error) {
	if len(encoded) == 0 || encoded[0] != recordFormat && encoded[0] != recordFormatSimple {
		return Record{}, CorruptRecordError{Reason: "unknown format"}
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
	if encoded[0] == recordFormat {
		record.Contents.OldMembers = reader.members()
	}
	if reader.broken {
		return Record{}, CorruptRecordError{Reason: "cut short"}
	}
	record.Contents.State = reader.rest
	return record, nil
}

func appendString(encoded []byte, text string) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(len(text)))
	return append(encoded, text...)
}

// recordReader reads fields one after the other; after the first that is cut short it returns zero values.
type recordReader struct {
	rest   []byte
	broken bool
}

func (reader *recordReader) number() uint64 {
	number, length := binary.Uvarint(reader.rest)
	if length <= 0 {
		reader.broken = true
		reader.rest = nil
		return 0
	}
	reader.rest = reader.rest[length:]
	return number
}

func (reader *recordReader) members() []Member {
	var members []Member
	for count := reader.number(); count > 0 && !reader.broken; count-- {
		member := Member{ID: reader.string(), Address: reader.string(), Zone: reader.string()}
		members = append(members, member)
	}
	return members
}

func (reader *recordReader) string() string {
	length := reader.number()
	if length > uint64(len(reader.rest)) {
		reader.broken = true
		reader.rest = nil
		return ""
	}
	text := string(reader.rest[:length])
	reader.rest = reader.rest[length:]
	return text
}
