package config_test

import (
	"encoding/json"
	"strings"
	"testing"

	"snowflow/internal/config"
)

// TestRedact guards against showing tenants' keys to operators. A case without an expected text only checks that the result is valid
// JSON and that a digest replaces the key.
func TestRedact(t *testing.T) {
	digest, _ := config.DigestKey("secret-1")
	shown := `"` + config.ShortDigest(digest[:]) + `"`
	for name, test := range map[string]struct{ content, redacted string }{
		"no tenants":         {`{"note":"keys", "groups":[{"name":"a"}]}`, `{"note":"keys", "groups":[{"name":"a"}]}`},
		"spaces are kept":    {"{ \"tenants\" : [ {\"name\":\"n\",\n \"keys\" : [ \"secret-1\" , \"secret-1\"]} ] }\n", "{ \"tenants\" : [ {\"name\":\"n\",\n \"keys\" : [ " + shown + " , " + shown + "]} ] }\n"},
		"a key with escapes": {`{"tenants":[{"keys":["secret\"-\\"]}],"note":"\"secret-1\""}`, ""},
		"escaped field name": {`{"ten\u0061nts":[{"keys":["secret-1"]}]}`, `{"ten\u0061nts":[{"keys":[` + shown + `]}]}`},
		"other keys":         {`{"keys":["k"],"tenants":[{"name":"keys","more":{"keys":["k"]}}]}`, `{"keys":["k"],"tenants":[{"name":"keys","more":{"keys":["k"]}}]}`},
		"not JSON":           {`{"tenants":[`, `{"tenants":[`},
	} {
		t.Run(name, func(t *testing.T) {
			redacted := string(config.Redact([]byte(test.content)))
			if test.redacted != "" && redacted != test.redacted {
				t.Errorf("%s", redacted)
			}
			if test.redacted == "" && (strings.Contains(redacted, "-\\\\") || !json.Valid([]byte(redacted)) || !strings.Contains(redacted, "sha256:")) {
				t.Errorf("%s", redacted)
			}
		})
	}
}

// FuzzRedact checks that a redacted configuration contains no key, whatever the key and the preceding text are, and that everything else
// is unchanged.
func FuzzRedact(f *testing.F) {
	f.Add("secret", "north")
	f.Add(`a"b\`, `\"`)
	f.Fuzz(func(t *testing.T, key, name string) {
		content, err := json.Marshal(map[string]any{"note": name, "tenants": []any{map[string]any{"name": name, "keys": []string{key, key}}}})
		if err != nil {
			t.Fatal(err)
		}
		var before, after struct {
			Note    string
			Tenants []struct {
				Name string
				Keys []string
			}
		}
		if json.Unmarshal(content, &before) != nil || json.Unmarshal(config.Redact(content), &after) != nil {
			t.Fatalf("%s became %s", content, config.Redact(content))
		}
		if after.Note != before.Note || after.Tenants[0].Name != before.Tenants[0].Name {
			t.Fatalf("%s became %s", content, config.Redact(content))
		}
		for _, shown := range after.Tenants[0].Keys {
			if !strings.HasPrefix(shown, "sha256:") || len(shown) != len("sha256:")+8 {
				t.Fatalf("the redacted key is %q", shown)
			}
		}
	})
}
