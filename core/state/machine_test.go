package state

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

var testRetention = Retention{
	FinishedJobs:  10 * time.Second,
	FinishedBytes: 8 * recordOverhead,
	DroppedJobs:   3,
	EndedMembers:  2 * time.Second,
	EndedBatch:    2,
	Tickets:       4,
}

var (
	numbers = rapid.OneOf(rapid.Uint64Range(1, 20), rapid.Uint64Range(1<<40, 1<<40+3))
	names   = rapid.SampledFrom([]string{"a", "b", "c"})
	ids     = rapid.SampledFrom([]string{"e1", "e2", "g1", "g2", "g3"})
	keys    = rapid.Custom(func(t *rapid.T) job.Key {
		return job.Key{Caller: names.Draw(t, "caller"), ID: names.Draw(t, "id")}
	})
)

// replicaPair is a machine, a second one that is restored from snapshots at random
// points, and a record of the commands to compute the expected results from.
type replicaPair struct {
	t    *rapid.T
	a, b *Machine
	now  time.Time
	// used holds the digest of each applied ticket, last the highest ticket of each
	// object.
	used map[uint64][32]byte
	last map[string]uint64
	// epochs holds the highest epoch seen of each job that is still recorded.
	epochs   map[job.Key]uint64
	watchers []*Replica
	views    []View
}

func newReplicaPair(t *rapid.T) *replicaPair {
	return &replicaPair{
		t: t, a: New(testRetention), b: New(testRetention), now: time.Unix(1000, 0),
		used: map[uint64][32]byte{}, last: map[string]uint64{},
		epochs:   map[job.Key]uint64{},
		watchers: []*Replica{NewReplica(), NewReplica(), NewReplica()},
	}
}

func (p *replicaPair) apply(c Command) Result {
	p.now = p.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(p.t, "elapsed_ms")) * time.Millisecond)
	c.Now = p.now
	index := p.a.Applied() + 1
	ra, rb := p.a.Apply(index, c), p.b.Apply(index, c)
	assert.DeepEqual(p.t, ra, rb)
	return ra
}

func (p *replicaPair) restore(t *rapid.T) { p.b = Restore(testRetention, p.b.Snapshot()) }

// ticket guards against a ticket that is applied twice, applied after a newer one
// of its objects, or applied in part.
func (p *replicaPair) ticket(t *rapid.T) {
	tk := Ticket{Number: numbers.Draw(t, "number"), Author: names.Draw(t, "author")}
	var touched []string
	for _, n := range rapid.SliceOfN(names, 0, 2).Draw(t, "services") {
		tk.Services = append(tk.Services, Service{Name: n, Removed: rapid.Bool().Draw(t, "removed")})
		touched = append(touched, "s"+n)
	}
	if rapid.Bool().Draw(t, "quota") {
		n := names.Draw(t, "quota")
		tk.Quotas = append(tk.Quotas, Quota{Caller: n})
		touched = append(touched, "q"+n)
	}
	if rapid.Bool().Draw(t, "limits") {
		tk.Limits = &Limits{MaxQueued: 7}
		touched = append(touched, "limits")
	}
	p.sendTicket(tk, touched)
}

func (p *replicaPair) sendTicket(tk Ticket, touched []string) {
	digest := sha256.Sum256(fmt.Append(nil, tk.Number, tk.Author, tk.Services, tk.Quotas, tk.Limits != nil))
	newer := func(o string) bool { return p.last[o] >= tk.Number }
	want := TicketApplied
	kept, inHistory := p.a.Ticket(tk.Number)
	content, used := p.used[tk.Number]
	switch {
	case inHistory && content == digest:
		want = TicketRepeated
	case inHistory:
		want = TicketConflict
	case used || slices.ContainsFunc(touched, newer):
		want = TicketStale
	}
	before := p.a.config.Clone()
	res := p.apply(Command{ApplyTicket: &ApplyTicket{tk, digest}}).Ticket
	assert.Equal(p.t, res.Status, want)
	switch want {
	case TicketApplied:
		p.used[tk.Number] = digest
		for _, o := range touched {
			p.last[o] = tk.Number
		}
		return
	case TicketRepeated:
		assert.Equal(p.t, res.Revision, kept.Revision)
	case TicketConflict:
		assert.Equal(p.t, res.WinnerAuthor, kept.Ticket.Author)
	}
	assert.Assert(p.t, res.Winner >= tk.Number)
	assert.DeepEqual(p.t, p.a.config, before)
}

// register guards against an ended or older incarnation that is registered again.
func (p *replicaPair) register(t *rapid.T) {
	id := ids.Draw(t, "id")
	role := RoleAgent
	if id[0] == 'e' {
		role = RoleEntry
	}
	old, known := p.a.Member(id)
	incarnation := old.Incarnation + rapid.Uint64Range(0, 2).Draw(t, "raise")
	if rapid.Bool().Draw(t, "older") && incarnation > 0 {
		incarnation--
	}
	m := Member{ID: id, Role: role, Incarnation: incarnation}
	want := !known || incarnation > old.Incarnation || (incarnation == old.Incarnation && old.Active())
	assert.Equal(t, p.apply(Command{Register: &RegisterMember{m}}).Registered, want)
}

// end guards against an end that affects another incarnation.
func (p *replicaPair) end(t *rapid.T) {
	id := ids.Draw(t, "id")
	old, known := p.a.Member(id)
	incarnation := old.Incarnation + rapid.Uint64Range(0, 1).Draw(t, "wrong")
	state := rapid.SampledFrom([]MemberState{MemberLeft, MemberExpired}).Draw(t, "state")
	want := known && old.Active() && incarnation == old.Incarnation
	assert.Equal(t, p.apply(Command{EndMember: &EndMember{id, incarnation, state}}).Ended, want)
}

func (p *replicaPair) drain(t *rapid.T) {
	id := ids.Draw(t, "id")
	p.apply(Command{DrainMember: &DrainMember{id, p.a.members[id].Incarnation}})
}

// accept guards against a job that is accepted twice or for an ended owner.
func (p *replicaPair) accept(t *rapid.T) {
	id := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "owner")
	owner, known := p.a.Member(id)
	r := job.Record{
		Key: keys.Draw(t, "key"), Digest: job.Digest{rapid.Byte().Draw(t, "digest") % 2},
		Owner: id, OwnerIncarnation: owner.Incarnation, Tasks: make([]job.Task, 2),
		Deadline: p.now.Add(time.Duration(rapid.IntRange(-5, 60).Draw(t, "deadline_s")) * time.Second),
	}
	old, exists := p.a.Job(r.Key)
	want := Accepted
	switch {
	case exists && old.Digest != r.Digest:
		want = Conflicting
	case exists:
		want = Existing
	case !known || !owner.Active():
		want = UnknownOwner
	}
	assert.Equal(t, p.apply(Command{AcceptJob: &AcceptJob{r}}).Accept, want)
	if want == Accepted {
		p.epochs[r.Key] = 1
	}
}

// finish guards against an accepted outcome of an older epoch, an accepted partial
// outcome, and a finished job that changes.
func (p *replicaPair) finish(t *rapid.T) {
	k := keys.Draw(t, "key")
	old, exists := p.a.Job(k)
	epoch := old.Epoch - rapid.Uint64Range(0, 1).Draw(t, "older")
	results := make([]job.TaskResult, rapid.IntRange(1, 2).Draw(t, "results"))
	for i := range results {
		results[i] = job.TaskResult{State: job.TaskDone, Verdict: verdict.Ran, Output: make([]byte, 300)}
	}
	res := p.apply(Command{FinishJob: &FinishJob{k, epoch, job.NewOutcome(results)}})
	accepted := exists && epoch == old.Epoch && (old.State.Final() || len(results) == 2)
	assert.Equal(t, res.Finished, accepted)
	if accepted && old.State.Final() {
		assert.DeepEqual(t, *res.Record, old)
	}
}

// takeOver guards against a takeover that does not raise the epoch or does not
// check it.
func (p *replicaPair) takeOver(t *rapid.T) {
	k := keys.Draw(t, "key")
	old, exists := p.a.Job(k)
	from := old.Epoch - rapid.Uint64Range(0, 1).Draw(t, "older")
	to, _ := p.a.Member(ids.Draw(t, "to"))
	want := exists && !old.State.Final() && from == old.Epoch && to.Role == RoleEntry && to.State == MemberLive
	res := p.apply(Command{TakeOverJob: &TakeOverJob{k, from, to.ID}})
	assert.Equal(t, res.TookOver, want)
	if want {
		assert.Equal(t, res.Record.Epoch, old.Epoch+1)
		p.epochs[k]++
	}
}

// view merges and stores a view from a random earlier revision; lateView delivers
// the stored ones again and guards against a merge of an older view.
func (p *replicaPair) view(t *rapid.T) {
	i := rapid.IntRange(0, len(p.watchers)-1).Draw(t, "watcher")
	w := p.watchers[i]
	after := rapid.Uint64Range(0, w.Revision).Draw(t, "after")
	v := p.a.View(after, "e1")
	assert.DeepEqual(t, v, p.b.View(after, "e1"))
	p.views = append(p.views, v)
	p.watchers[i] = p.merge(w, v)
	assert.DeepEqual(t, p.watchers[i].Members, p.a.members)
	assert.DeepEqual(t, p.watchers[i].Config, p.a.config)
}

func (p *replicaPair) lateView(t *rapid.T) {
	i := rapid.IntRange(0, len(p.watchers)-1).Draw(t, "watcher")
	w := p.watchers[i]
	for _, v := range p.views {
		if v.Revision <= w.Revision {
			next, changed := w.Merge(v)
			assert.Assert(t, next == w && !changed)
		}
	}
}

func (p *replicaPair) merge(w *Replica, v View) *Replica {
	next, changed := w.Merge(v)
	assert.Equal(p.t, changed, v.Revision > w.Revision)
	assert.Assert(p.t, next.Revision >= w.Revision)
	return next
}

// check guards against replicas that differ, indexes that do not match the
// records, and records that are kept too long.
func (p *replicaPair) check(t *rapid.T) {
	assert.DeepEqual(t, p.a.Snapshot(), p.b.Snapshot())
	var bytes int64
	released := false
	var orphans, taken []job.Record
	for k, epoch := range p.epochs {
		r, ok := p.a.Job(k)
		if !ok {
			delete(p.epochs, k)
			continue
		}
		assert.Equal(t, r.Epoch, epoch)
		owner, known := p.a.Member(r.Owner)
		mine := known && owner.Incarnation == r.OwnerIncarnation
		switch {
		case r.State.Final():
			if r.AnswerDropped {
				break
			}
			bytes += recordBytes(&r)
			released = released || !releaseTime(&r).After(p.now)
			assert.Assert(t, p.now.Sub(releaseTime(&r)) < testRetention.FinishedJobs, "job kept too long")
		case !owner.Active() || !mine:
			orphans = append(orphans, r)
		}
		if !r.State.Final() && r.Epoch > 1 && r.Owner == "e1" && mine {
			taken = append(taken, r)
		}
	}
	slices.SortFunc(orphans, byRevision)
	slices.SortFunc(taken, byRevision)
	assert.DeepEqual(t, p.a.Orphans(), orphans)
	assert.DeepEqual(t, p.a.TakenOver("e1", 0), taken)
	assert.Equal(t, p.a.finishedBytes, bytes)
	assert.Assert(t, bytes <= testRetention.FinishedBytes || !released, "kept answers exceed their bound")
}

// Guards against a replica that differs from one restored from its snapshots, and
// against results that differ from the expected ones, with random commands. Each
// action of replicaPair names the failure that it guards against.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newReplicaPair(t)
		t.Repeat(map[string]func(*rapid.T){
			"": p.check, "restore": p.restore, "ticket": p.ticket, "register": p.register,
			"end": p.end, "drain": p.drain, "accept": p.accept, "finish": p.finish,
			"takeOver": p.takeOver, "view": p.view, "lateView": p.lateView,
		})
	})
}
