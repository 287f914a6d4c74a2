package verdict

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRefusalNeedsEvidence guards against a refusal with not_run while the job
// runs at another entry or is being recorded there.
func TestRefusalNeedsEvidence(t *testing.T) {
	assert.Equal(t, Evidence{NoRecord: true, NoneInProgress: true}.RefusalVerdict(), NotRun)
	for _, e := range []Evidence{{}, {NoRecord: true}, {NoneInProgress: true}} {
		assert.Equal(t, e.RefusalVerdict(), MayHaveRun)
	}
}

// Guards against a combined not_run or ran although one of the verdicts differs.
func TestCombine(t *testing.T) {
	all := []Verdict{MayHaveRun, NotRun, Ran}
	for _, a := range all {
		for _, b := range all {
			want := MayHaveRun
			if a == b {
				want = a
			}
			assert.Equal(t, Combine(a, b), want)
		}
	}
}

// Guards against an unset verdict that means not_run.
func TestZeroValueIsMayHaveRun(t *testing.T) {
	var e Error
	assert.Equal(t, e.Verdict, MayHaveRun)
}

// Guards against a name on the wire that is not parsed as the same verdict.
func TestParse(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		got, err := Parse(v.String())
		assert.NilError(t, err)
		assert.Equal(t, got, v)
	}
	_, err := Parse("maybe")
	assert.ErrorContains(t, err, "maybe")
}
