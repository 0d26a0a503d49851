package h1

import "net/http"

// HasValidNames reports whether every field name of a header or trailer is a token, as HTTP
// requires. The parser of the standard library accepts names with blanks, which hide a field from
// it: with "Content-Length : 5" it takes a message to have no length.
func HasValidNames(h http.Header) bool {
	for name, values := range h {
		if len(values) > 0 && !IsToken(name) { // a trailer that was announced and not sent has no value
			return false
		}
	}
	return true
}

// IsToken reports whether s consists of one or more characters that HTTP allows in a name.
func IsToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte[s[i]] {
			return false
		}
	}
	return s != ""
}

// isTokenByte has the characters of a token.
var isTokenByte = func() (table [256]bool) {
	const others = "!#$%&'*+-.^_`|~"
	for c := range table {
		b := byte(c)
		table[c] = '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
	}
	for i := range len(others) {
		table[others[i]] = true
	}
	return table
}()
