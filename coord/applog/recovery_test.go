package applog

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// TestPowerLossAtEachByte simulates a power failure that keeps the file up to any byte after the last sync, with
// the rest missing, zeroed or random. All synced records must be replayed, unsynced ones in order and without gaps.
func TestPowerLossAtEachByte(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	synced := appendRandom(t, log, random, 20, 90)
	must.NoError(t, log.Wait())
	syncedBytes := log.Size()
	unsynced := appendRandom(t, log, random, 8, 60)
	must.NoError(t, log.commit(false))
	content := readLogFile(t, directory)
	must.EqOp(t, log.Size(), int64(len(content)))
	all := append(synced, unsynced...)

	for cut := int(syncedBytes); cut <= len(content); cut++ {
		for _, torn := range tornCopies(content, cut, random) {
			payloads, corrupt := replayContent(t, torn)
			must.GreaterEq(t, len(synced), len(payloads))
			must.Eq(t, all[:len(payloads)], payloads)
			must.SliceEmpty(t, corrupt)
		}
	}
	must.NoError(t, log.Close())
}

// tornCopies returns three copies of content whose bytes from cut on are missing, zero, and random.
func tornCopies(content []byte, cut int, random *rand.Rand) [][]byte {
	shortened := append([]byte(nil), content[:cut]...)
	zeroed := make([]byte, len(content))
	copy(zeroed, shortened)
	noise := append([]byte(nil), content...)
	for i := cut; i < len(noise); i++ {
		noise[i] = byte(random.Uint32())
	}
	return [][]byte{shortened, zeroed, noise}
}

// TestLostWriteBeforeKeptWrite zeroes each record but the last in turn, as after a power failure that lost a write
// and kept a later one. All other records must be replayed and the region reported as corrupt.
func TestLostWriteBeforeKeptWrite(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	all := appendRandom(t, log, random, 30, 50)
	must.NoError(t, log.Close())
	content := readLogFile(t, directory)

	var offset int
	for lost := range len(all) - 1 {
		length := int(recordBytes(len(all[lost])))
		damaged := append([]byte(nil), content...)
		clear(damaged[offset : offset+length])
		payloads, corrupt := replayContent(t, damaged)
		want := append(append([]string(nil), all[:lost]...), all[lost+1:]...)
		must.Eq(t, want, payloads)
		must.Eq(t, []Position{{Offset: int64(offset), Length: length, Generation: 1}}, corrupt)
		offset += length
	}
}

// TestFlippedBit flips each bit of a log in turn. Only the record with that bit must be lost.
func TestFlippedBit(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	all := appendRandom(t, log, random, 6, 20)
	must.NoError(t, log.Close())
	content := readLogFile(t, directory)
	lastStart := len(content) - int(recordBytes(len(all[len(all)-1])))

	for bit := range len(content) * 8 {
		damaged := append([]byte(nil), content...)
		damaged[bit/8] ^= 1 << (bit % 8)
		payloads, corrupt := replayContent(t, damaged)
		must.EqOp(t, len(all)-1, len(payloads))
		if bit/8 < lastStart {
			must.EqOp(t, 1, len(corrupt))
		} else {
			must.SliceEmpty(t, corrupt) // damage to the last record looks like a torn write
		}
	}
}

// TestRecordWithinPayload checks that a copy of a record in the payload of a damaged record is not replayed.
func TestRecordWithinPayload(t *testing.T) {
	inner := appendRecord(nil, 0, []byte("inner"))
	content := appendRecord(nil, 0, inner)
	content = appendRecord(content, int64(len(content)), []byte("last"))
	content[0] ^= 1
	payloads, corrupt := replayContent(t, content)
	must.Eq(t, []string{"last"}, payloads)
	must.EqOp(t, 1, len(corrupt))
}

// TestAppendAfterTornEnd checks that records can be appended after a torn end was truncated.
func TestAppendAfterTornEnd(t *testing.T) {
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	_, err := log.Append([]byte("first"))
	must.NoError(t, err)
	must.NoError(t, log.Close())
	torn := append(readLogFile(t, directory), 7, 0, 0)
	must.NoError(t, writeLogFile(directory, torn))

	log, payloads, _ := openCollecting(t, directory, Options{})
	must.Eq(t, []string{"first"}, payloads)
	_, err = log.Append([]byte("second"))
	must.NoError(t, err)
	must.NoError(t, log.Close())
	_, payloads, corrupt := openCollecting(t, directory, Options{})
	must.Eq(t, []string{"first", "second"}, payloads)
	must.SliceEmpty(t, corrupt)
}

// TestReplayOfLongRecords replays records that are longer than the read-ahead window.
func TestReplayOfLongRecords(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	all := appendRandom(t, log, random, 12, 3*readAheadBytes)
	must.NoError(t, log.Close())
	log, payloads, _ := openCollecting(t, directory, Options{})
	must.EqOp(t, len(all), len(payloads))
	for i := range all {
		must.True(t, all[i] == payloads[i])
	}
	must.NoError(t, log.Close())
}
