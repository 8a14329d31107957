package responsecheck

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// DecodeJSON reads the body of a response to its end and decodes all of it. A json.Decoder stops after a value, and so takes one from a body
// that is cut short after it. If it returns an error, the target may have been changed in part.
func DecodeJSON(body io.Reader, target any) error {
	whole, err := io.ReadAll(body)
	if err != nil {
		return errors.Wrap(err, "read the body of the response to its end")
	}
	return errors.Wrap(json.Unmarshal(whole, target), "decode the body of the response")
}
