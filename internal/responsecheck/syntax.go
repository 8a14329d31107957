package responsecheck

import "bytes"

const deleteByte = 0x7f

// tokenBytes says which bytes a token consists of: RFC 9110, section 5.6.2.
var tokenBytes = func() (table [256]bool) {
	for c := range table {
		b := byte(c)
		table[c] = isDigit(b) || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
	}
	return table
}()

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isHexDigit(b byte) bool { return isDigit(b) || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F' }

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// isText reports whether there are no control bytes but tabs in a value or reason phrase.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == deleteByte {
			return false
		}
	}
	return true
}

func isToken(text []byte) bool { return len(text) > 0 && tokenLength(text) == len(text) }

// tokenLength returns how many bytes of a token the text begins with.
func tokenLength(text []byte) int {
	for i, b := range text {
		if !tokenBytes[b] {
			return i
		}
	}
	return len(text)
}

// equalName compares without regard to the case of ASCII letters. Other letters that fold to them are longer.
func equalName(text []byte, name string) bool {
	return len(text) == len(name) && bytes.EqualFold(text, []byte(name))
}

// validExtensions checks the extensions of a chunk, each of which begins with a semicolon: RFC 9112, section 7.1.1. Blanks around the
// separators are allowed to recipients alone.
func validExtensions(text []byte) bool {
	for len(text) > 0 {
		if text[0] != ';' {
			return false
		}
		text = text[1:]
		name := tokenLength(text)
		if name == 0 {
			return false
		}
		text = text[name:]
		if len(text) == 0 || text[0] != '=' {
			continue
		}
		text = text[1:]
		value := extensionValueLength(text)
		if value == 0 {
			return false
		}
		text = text[value:]
	}
	return true
}

// extensionValueLength returns how many bytes of a token or a quoted string the text begins with; 0 means that it begins with neither.
func extensionValueLength(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return tokenLength(text)
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '"':
			return i + 1
		case '\\':
			i++
		}
		if i < len(text) && !isText(text[i:i+1]) {
			return 0
		}
	}
	return 0
}
