package applog

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// TestPowerLossAtEachByte tears the file at each byte after the last sync, in four ways.
func TestPowerLossAtEachByte(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	synced := appendRandom(t, log, random, 20, 90)
	must.NoError(t, log.Wait())
	syncedBytes := log.Size()
	unsynced := appendRandom(t, log, random, 8, 60)
	must.NoError(t, log.commit(false))
	content := contentOf(t, directory)
	must.EqOp(t, log.Size(), int64(len(content)))
	all := append(synced, unsynced...)

	for cut := int(syncedBytes); cut <= len(content); cut++ {
		for _, torn := range tornCopies(content, cut, random) {
			payloads, corrupt := replayOf(t, torn)
			must.GreaterEq(t, len(synced), len(payloads))
			must.Eq(t, all[:len(payloads)], payloads)
			must.SliceEmpty(t, corrupt)
		}
	}
	must.NoError(t, log.Close())
}

// tornCopies returns copies of content that lost what follows the cut.
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

// TestLostWriteBeforeKeptWrite loses each record in turn while later ones were kept.
func TestLostWriteBeforeKeptWrite(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	all := appendRandom(t, log, random, 30, 50)
	must.NoError(t, log.Close())
	content := contentOf(t, directory)

	var offset int
	for lost := range len(all) - 1 {
		length := int(recordBytes(len(all[lost])))
		damaged := append([]byte(nil), content...)
		clear(damaged[offset : offset+length])
		payloads, corrupt := replayOf(t, damaged)
		want := append(append([]string(nil), all[:lost]...), all[lost+1:]...)
		must.Eq(t, want, payloads)
		must.Eq(t, []Position{{Offset: int64(offset), Length: length, Generation: 1}}, corrupt)
		offset += length
	}
}

// TestFlippedBit flips each bit of a log in turn: the one record is missed, and all others replay.
func TestFlippedBit(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	all := appendRandom(t, log, random, 6, 20)
	must.NoError(t, log.Close())
	content := contentOf(t, directory)
	lastStart := len(content) - int(recordBytes(len(all[len(all)-1])))

	for bit := range len(content) * 8 {
		damaged := append([]byte(nil), content...)
		damaged[bit/8] ^= 1 << (bit % 8)
		payloads, corrupt := replayOf(t, damaged)
		must.EqOp(t, len(all)-1, len(payloads))
		if bit/8 < lastStart {
			must.EqOp(t, 1, len(corrupt))
		} else {
			must.SliceEmpty(t, corrupt) // the last record looks torn
		}
	}
}

// TestRecordWithinPayload checks that a copy of a record within a damaged one isn't replayed.
func TestRecordWithinPayload(t *testing.T) {
	inner := appendRecord(nil, 0, []byte("inner"))
	content := appendRecord(nil, 0, inner)
	content = appendRecord(content, int64(len(content)), []byte("last"))
	content[0] ^= 1
	payloads, corrupt := replayOf(t, content)
	must.Eq(t, []string{"last"}, payloads)
	must.EqOp(t, 1, len(corrupt))
}

// TestAppendAfterTornEnd checks that a log goes on after its torn end was cut off.
func TestAppendAfterTornEnd(t *testing.T) {
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	_, err := log.Append([]byte("first"))
	must.NoError(t, err)
	must.NoError(t, log.Close())
	torn := append(contentOf(t, directory), 7, 0, 0)
	must.NoError(t, writeContent(directory, torn))

	log, payloads, _ := openCollecting(t, directory, Options{})
	must.Eq(t, []string{"first"}, payloads)
	_, err = log.Append([]byte("second"))
	must.NoError(t, err)
	must.NoError(t, log.Close())
	_, payloads, corrupt := openCollecting(t, directory, Options{})
	must.Eq(t, []string{"first", "second"}, payloads)
	must.SliceEmpty(t, corrupt)
}

// TestReplayOfLongRecords replays records longer than the window of the replay.
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
