package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// maxKeyLength is the length, in bytes, above which headerSafeKey replaces an idempotency or affinity key by its
// checksum.
const maxKeyLength = 200

// argumentKey returns the value at a path of argument and input field names, such as input.idempotencyKey, as a key.
// The key is empty if the arguments have no such value.
func argumentKey(arguments map[string]any, path string) string {
	var value any = arguments
	for name := range strings.SplitSeq(path, ".") {
		fields, ok := value.(map[string]any)
		if !ok {
			return ""
		}
		value = fields[name]
	}
	if value == nil {
		return ""
	}
	return headerSafeKey(fmt.Sprint(value))
}

// headerSafeKey returns a key that is valid in an HTTP header: the text itself if it is visible ASCII of at most
// maxKeyLength bytes, otherwise its SHA-256 checksum.
func headerSafeKey(text string) string {
	if len(text) <= maxKeyLength && !strings.ContainsFunc(text, isNotVisibleASCII) {
		return text
	}
	sum := sha256.Sum256([]byte(text))
	return "sha256-" + hex.EncodeToString(sum[:])
}

func isNotVisibleASCII(r rune) bool { return r <= ' ' || r > '~' }
