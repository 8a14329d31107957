package watch

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/responsecheck/responsetest"
)

// follow reads the stream of a server that sends this response, and returns the frames before its end.
func follow(t *testing.T, response string) (frames []string, err error) {
	t.Helper()
	err = (&Client{}).Follow(context.Background(), "http://"+responsetest.Serve(t, response).Address, func(frame []byte) error {
		frames = append(frames, string(frame))
		return nil
	})
	return frames, err
}

// TestBrokenResponsesAreNoStream checks that no frame is taken from a response that HTTP does not allow, and that a refusal of that kind
// names no leader.
func TestBrokenResponsesAreNoStream(t *testing.T) {
	for _, broken := range responsetest.Broken() {
		t.Run(broken.Name, func(t *testing.T) {
			frames, err := follow(t, broken.Apply(responsetest.Response(http.StatusOK, "\x01a\x02bc")))
			must.Error(t, err)
			must.SliceEmpty(t, frames)
			_, err = follow(t, broken.Apply(responsetest.Response(http.StatusTemporaryRedirect, "", LeaderHeader+": 10.0.0.4:8080")))
			refused := &NotStreamingError{}
			must.False(t, errors.As(err, &refused), must.Sprint(err))
		})
	}
}

func TestUnusualResponsesAreStreams(t *testing.T) {
	for _, sound := range responsetest.Sound() {
		t.Run(sound.Name, func(t *testing.T) {
			frames, _ := follow(t, sound.Apply(responsetest.Response(http.StatusOK, "\x01a\x02bc")))
			must.Eq(t, []string{"a", "bc"}, frames)
		})
	}
}
