package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// Metrics of a control VM. Members, jobs, revision and ticket come from this VM's
// copy of the state, which may be behind the leader's.
var (
	leadsDesc     = newDesc("leads", "1 if this VM leads and may serve reads now.")
	leaderDesc    = newDesc("leader_known", "1 if this VM knows a leader.")
	termDesc      = newDesc("term", "Term of the consensus.")
	commitDesc    = newDesc("commit_index", "Last committed log index that this VM knows.")
	appliedDesc   = newDesc("applied_index", "Last log index that this VM has applied.")
	lastIndexDesc = newDesc("last_index", "Last log index of this VM.")
	votersDesc    = newDesc("voters", "Control VMs with a vote in the group in force.")
	learnersDesc  = newDesc("learners", "Control VMs without a vote in the group in force.")
	silentDesc    = newDesc("silent_seconds", "Seconds since the leader heard from a control VM; on the leader only.", "address")
	membersDesc   = newDesc("members", "Recorded entries and agents, by role and state.", "role", "state")
	behindDesc    = newDesc("members_behind", "Active members that have not reported the newest revision; on the leader only.")
	jobsDesc      = newDesc("jobs", "Recorded jobs, by state.", "state")
	revisionDesc  = newDesc("config_revision", "Revision of configuration and members.")
	ticketDesc    = newDesc("highest_ticket", "Highest ticket number that was applied.")
)

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("cicadapulley_control_"+name, help, labels, nil)
}

// collector reads a control VM's state at each scrape.
type collector struct{ service *Service }

// Collectors returns the control VM's metrics.
func (s *Service) Collectors() []prometheus.Collector { return []prometheus.Collector{collector{s}} }

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		leadsDesc, leaderDesc, termDesc, commitDesc, appliedDesc, lastIndexDesc, votersDesc, learnersDesc,
		silentDesc, membersDesc, behindDesc, jobsDesc, revisionDesc, ticketDesc,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	c.collectConsensus(send)
	c.collectState(send)
}

type sendMetric func(d *prometheus.Desc, value float64, labels ...string)

func (c collector) collectConsensus(send sendMetric) {
	status := c.service.replica.Status()
	send(leadsDesc, boolValue(c.service.replica.Leading()))
	send(leaderDesc, boolValue(status.Leader != ""))
	send(termDesc, float64(status.Term))
	send(commitDesc, float64(status.Commit))
	send(appliedDesc, float64(status.Applied))
	send(lastIndexDesc, float64(status.LastIndex))
	voters := countVoters(status.Group)
	send(votersDesc, float64(voters))
	send(learnersDesc, float64(len(status.Group.Servers)-voters))
	for _, s := range groupStatus(status, time.Now()) {
		silent := time.Duration(s.SilentMs) * time.Millisecond
		send(silentDesc, silent.Seconds(), s.Address)
	}
}

func countVoters(g raft.Group) int {
	voters := 0
	for _, s := range g.Servers {
		if s.Voter {
			voters++
		}
	}
	return voters
}

// memberKey groups members for the members metric.
type memberKey struct{ role, state string }

func (c collector) collectState(send sendMetric) {
	var members []state.Member
	var revision, ticket, running, finished uint64
	c.service.replica.Local(func(m *state.Machine) {
		members = m.Members()
		revision, ticket = m.ConfigRevision(), m.HighestTicket()
		running, finished = m.JobCounts()
	})
	counts := map[memberKey]int{}
	for _, m := range members {
		counts[memberKey{string(m.Role), m.State.String()}]++
	}
	for k, n := range counts {
		send(membersDesc, float64(n), k.role, k.state)
	}
	send(jobsDesc, float64(running), "running")
	send(jobsDesc, float64(finished), "finished")
	send(revisionDesc, float64(revision))
	send(ticketDesc, float64(ticket))
	if c.service.replica.Leading() {
		send(behindDesc, float64(len(c.service.leases.behind(members, revision))))
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
