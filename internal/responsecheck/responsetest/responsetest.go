// Package responsetest holds the responses that tests of everything that reads responses send: broken ones, which prove nothing, and
// unusual ones that are valid all the same. Both are made from an ordinary response, so that a test chooses what a response would say.
package responsetest

import (
	"fmt"
	"strings"
)

// Case is a way to change a response.
type Case struct {
	Name  string
	apply func(response string) string
}

// Apply returns the response as the case changes it. The response must be an HTTP/1.1 response in which a Content-Length comes before the
// body, and whose status line has a reason phrase.
func (c Case) Apply(response string) string { return c.apply(response) }

const (
	versionText  = "HTTP/1.1 "
	lengthName   = "Content-Length:"
	chunkedField = "Transfer-Encoding: chunked"
	lineEnd      = "\r\n"
	headEnd      = lineEnd + lineEnd
	statusDigits = 3
)

// replaced replaces the first occurrence of a text.
func replaced(before, after string) func(string) string {
	return func(response string) string { return strings.Replace(response, before, after, 1) }
}

// withField adds a line after the status line.
func withField(line string) func(string) string { return replaced(lineEnd, lineEnd+line+lineEnd) }

// withStatusCode replaces the status code.
func withStatusCode(code string) func(string) string {
	return func(response string) string {
		return response[:len(versionText)] + code + response[len(versionText)+statusDigits:]
	}
}

// withStatusLine replaces the whole status line but for the status code.
func withStatusLine(beforeCode, afterCode string) func(string) string {
	return func(response string) string {
		line, rest, _ := strings.Cut(response, lineEnd)
		return beforeCode + line[len(versionText):len(versionText)+statusDigits] + afterCode + lineEnd + rest
	}
}

// asChunked replaces the Content-Length by the chunked coding, whose text is made from that of the body.
func asChunked(encode func(chunk string) string) func(string) string {
	return func(response string) string {
		head, body, _ := strings.Cut(response, headEnd)
		before, rest, _ := strings.Cut(head, lengthName)
		if _, after, more := strings.Cut(rest, lineEnd); more {
			rest = lineEnd + after
		} else {
			rest = ""
		}
		return before + chunkedField + rest + headEnd + encode(chunk(body))
	}
}

// chunk encodes a body as one chunk, or as nothing if it is empty.
func chunk(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// SpoiltHeads returns cases with a broken status line, broken line ends, or contradictory or invalid framing.
func SpoiltHeads() []Case {
	return []Case{
		{"empty line before the status line", func(response string) string { return lineEnd + response }},
		{"blank before the status line", withStatusLine(" HTTP/1.1 ", " OK")},
		{"name of the protocol in lower case", withStatusLine("http/1.1 ", " OK")},
		{"other protocol", withStatusLine("ICY/1.1 ", " OK")},
		{"major version 2", withStatusLine("HTTP/2.0 ", " OK")},
		{"unknown minor version", withStatusLine("HTTP/1.7 ", " OK")},
		{"two blanks before the status", withStatusLine("HTTP/1.1  ", " OK")},
		{"tab before the status", withStatusLine("HTTP/1.1\t", " OK")},
		{"tab after the status", withStatusLine("HTTP/1.1 ", "\tOK")},
		{"control byte in the reason phrase", withStatusLine("HTTP/1.1 ", " O\x01K")},
		{"carriage return in the reason phrase", withStatusLine("HTTP/1.1 ", " O\rK")},
		{"status line that ends without carriage return", replaced(lineEnd, "\n")},
		{"field that ends without carriage return", replaced(lineEnd, lineEnd+"X-Note: a\n")},
		{"first field that is folded", withField(" X-Note: a")},
		{"folded field", withField("X-Note: a\r\n b")},
		{"folded field with a tab", withField("X-Note: a\r\n\tb")},
		{"folded length", replaced(lengthName, lengthName+lineEnd)},
		{"carriage return in a value", withField("X-Note: a\rb")},
		{"zero byte in a value", withField("X-Note: a\x00b")},
		{"delete byte in a value", withField("X-Note: a\x7fb")},
		{"line without a colon", withField("X-Note")},
		{"two equal lengths", func(response string) string { return withField(lengthLine(response))(response) }},
		{"two different lengths", withField("Content-Length: 1")},
		{"list of equal lengths", func(response string) string {
			line := lengthLine(response)
			return replaced(line, line+","+strings.TrimPrefix(line, lengthName))(response)
		}},
		{"length with a sign", replaced(lengthName+" ", lengthName+" +")},
		{"negative length", replaced(lengthName+" ", lengthName+" -")},
		{"hexadecimal length", replaced(lengthName+" ", lengthName+" 0x")},
		{"length that is no number", replaced(lengthName+" ", lengthName+" a")},
		{"length beyond 64 bits", replaced(lengthName+" ", lengthName+" 99999999999999999999")},
		{"empty length", func(response string) string { return replaced(lengthLine(response), lengthName)(response) }},
		{"length and chunked coding", func(response string) string {
			line := lengthLine(response)
			return withField(line)(asChunked(complete)(response))
		}},
		{"chunked coding and length, body not encoded", withField(chunkedField)},
		{"unknown transfer coding", withField("Transfer-Encoding: gzip")},
		{"empty transfer coding", withField("Transfer-Encoding:")},
		{"chunked twice", func(response string) string { return withField(chunkedField)(asChunked(complete)(response)) }},
		{"chunked coding in HTTP/1.0", func(response string) string {
			return withStatusLine("HTTP/1.0 ", " OK")(asChunked(complete)(response))
		}},
		{"interim response with a transfer coding", func(response string) string {
			return "HTTP/1.1 103 Early Hints\r\n" + chunkedField + headEnd + response
		}},
	}
}

// SpoiltBodies returns cases whose head is valid, and whose chunked body or trailer is broken.
func SpoiltBodies() []Case {
	return []Case{
		{"blank after the size of a chunk", asChunked(func(chunk string) string { return strings.Replace(chunk, lineEnd, " \r\n", 1) + "0\r\n\r\n" })},
		{"size of a chunk without carriage return", asChunked(func(chunk string) string { return chunk + "0\n\r\n" })},
		{"size of a chunk with a sign", asChunked(func(chunk string) string { return "+" + complete(chunk) })},
		{"control byte in a chunk extension", asChunked(func(chunk string) string { return chunk + "0;a=\x01\r\n\r\n" })},
		{"chunk longer than its size", asChunked(func(chunk string) string { return strings.TrimSuffix(chunk, lineEnd) + "x\r\n0\r\n\r\n" })},
		{"blank in the name of a trailer field", asChunked(func(chunk string) string { return chunk + "0\r\nX Note: a\r\n\r\n" })},
		{"blank after the name of a trailer field", asChunked(func(chunk string) string { return chunk + "0\r\nX-Note : a\r\n\r\n" })},
		{"length in the trailer", asChunked(func(chunk string) string { return chunk + "0\r\nContent-Length: 4\r\n\r\n" })},
	}
}

// InvalidStatuses returns cases whose status is none.
func InvalidStatuses() []Case {
	var cases []Case
	for _, code := range []string{"000", "001", "007", "099", "600", "999", "20", "2000", "2 0", "+20", "-20", "2x0", ""} {
		change := withStatusCode(code)
		cases = append(cases, Case{"status " + code, change}, Case{"status " + code + ", empty body", func(response string) string {
			return change(withoutBody(response))
		}})
	}
	return cases
}

// InvalidNames returns cases in which the name of a field is no token.
func InvalidNames() []Case {
	cases := []Case{
		{"blank after the name of the length", replaced(lengthName, "Content-Length :")},
		{"tab after the name of the length", replaced(lengthName, "Content-Length\t:")},
		{"blank in the name of the length", replaced(lengthName, "Content Length:")},
		{"control byte in the name of the length", replaced(lengthName, "Content\x00Length:")},
		{"blank after the name of the coding", func(response string) string {
			return replaced("Encoding:", "Encoding :")(asChunked(complete)(response))
		}},
		{"empty name", withField(": a")},
	}
	for _, name := range []string{"X Note", "X-Note ", "X-Note\t", "X\tNote", "X\x00Note", "X\x01Note", "X\x1fNote", "X\x7fNote", "X\x80Note", "X\rNote",
		"(X-Note)", "X@Note", "X/Note", "\"X\"", "X[1]", "X{Note}", "X=Note", "X,Note", "X;Note", "X?Note", "X<Note>", `X\Note`} {
		cases = append(cases, Case{"name " + name, withField(name + ": a")})
	}
	return cases
}

// Sound returns cases that are unusual and valid.
func Sound() []Case {
	return []Case{
		{"as it is", func(response string) string { return response }},
		{"empty reason phrase", withStatusLine("HTTP/1.1 ", " ")},
		{"no reason phrase", withStatusLine("HTTP/1.1 ", "")},
		{"reason phrase with blanks, a tab and bytes over 0x7F", withStatusLine("HTTP/1.1 ", " all \t w\xc3\xa4ll\xff")},
		{"any token as a name", withField("!#$%&'*+-.^_`|~09azAZ: a")},
		{"name of one byte", withField("~: a")},
		{"bytes over 0x7F in a value", withField("X-Note: \x80\xc3\xa4\xff")},
		{"tab and blanks in a value", withField("X-Note:\t a \t b \t")},
		{"separators in a value", withField(`X-Note: a:b;c="d, e" <f>`)},
		{"empty value", withField("X-Note:")},
		{"the same field twice", withField("X-Note: a\r\nX-Note: b")},
		{"name of the length in lower case", replaced(lengthName, "content-length:")},
		{"no blank before the length", replaced(lengthName+" ", lengthName)},
		{"length with zeros in front", replaced(lengthName+" ", lengthName+" 000")},
		{"chunked", asChunked(complete)},
		{"chunked, coding in upper case", func(response string) string {
			return replaced("chunked", "CHUNKED")(asChunked(complete)(response))
		}},
		{"chunked, with extensions", asChunked(func(chunk string) string {
			return strings.Replace(chunk, lineEnd, ";a;b=c;d=\"e;\\\" f\"\r\n", 1) + "0;e\r\n\r\n"
		})},
		{"chunked, with a trailer", asChunked(func(chunk string) string { return chunk + "000\r\nX-Note: a\r\n\r\n" })},
		{"after an interim response", func(response string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + response }},
		{"after interim responses with fields", func(response string) string {
			return "HTTP/1.1 102 \r\nX-Note: a\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + response
		}},
	}
}

// Broken returns all cases that prove nothing, but for those of SpoiltBodies: a reader may act on the head of a response before its body.
func Broken() []Case {
	cases := SpoiltHeads()
	cases = append(cases, InvalidStatuses()...)
	return append(cases, InvalidNames()...)
}

// complete ends a chunked body.
func complete(chunk string) string { return chunk + "0" + headEnd }

// withoutBody returns the response with an empty body.
func withoutBody(response string) string {
	head, _, _ := strings.Cut(response, headEnd)
	return strings.Replace(head, lengthLine(response), lengthName+" 0", 1) + headEnd
}

// lengthLine returns the line of the Content-Length, without its end.
func lengthLine(response string) string {
	_, after, _ := strings.Cut(response, lengthName)
	value, _, _ := strings.Cut(after, lineEnd)
	return lengthName + value
}
