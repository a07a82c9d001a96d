package contract

import (
	"testing"

	"dogwoodpond/internal/fault"
)

// An attacker presents guessed key IDs and measures the response times. If an unknown ID were
// refused without the full comparison, the time would reveal which IDs exist.
func TestUnknownKeyIsComparedInFull(t *testing.T) {
	s := EmptySnapshot()
	s.Keys["k1"] = Key{ID: "k1", Account: "a", SecretSHA256: HashSecret("the secret of k1")}
	known, _ := s.candidate("k1")
	unknown, found := s.candidate("k2")
	if found || len(unknown.SecretSHA256) != len(known.SecretSHA256) {
		t.Errorf("an unknown key is compared with %d digits, a known one with %d",
			len(unknown.SecretSHA256), len(known.SecretSHA256))
	}
	for _, p := range []PresentedKey{{ID: "k2", Secret: "the secret of k1"}, {ID: "k1", Secret: "another secret..."}, {}} {
		if _, _, err := s.Authenticate(p); !fault.Is[*fault.KeyInvalid](err) {
			t.Errorf("key %v: got %v, want *fault.KeyInvalid", p, err)
		}
	}
}

func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{"dwp_k1_0123456789abcdef", "dwp__", "dwp_k1_", "", "dwp_k1_a_b_c_0123456789"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		p, err := ParseKey(text)
		if err == nil && KeyPrefix+p.ID+"_"+p.Secret != text {
			t.Errorf("%q was parsed as ID %q and secret %q", text, p.ID, p.Secret)
		}
		if err != nil && !fault.Is[*fault.KeyInvalid](err) {
			t.Errorf("%q: got %v, want *fault.KeyInvalid", text, err)
		}
	})
}
