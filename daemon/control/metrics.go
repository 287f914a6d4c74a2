package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// Metrics of a control VM. Members, jobs, revision and ticket are read from
// this VM's copy of the state, which may be behind the leader's.
var (
	leadsDesc    = describe("leads", "1 if this VM leads and may serve reads now.")
	leaderDesc   = describe("leader_known", "1 if this VM knows a leader.")
	termDesc     = describe("term", "Term of the consensus.")
	commitDesc   = describe("commit_index", "Last committed log index that this VM knows.")
	appliedDesc  = describe("applied_index", "Last log index that this VM has applied.")
	lastDesc     = describe("last_index", "Last log index of this VM.")
	votersDesc   = describe("voters", "Control VMs with a vote in the group in force.")
	learnersDesc = describe("learners", "Control VMs without a vote in the group in force.")
	silentDesc   = describe("silent_seconds", "Seconds since the leader heard from a control VM; on the leader only.", "address")
	membersDesc  = describe("members", "Recorded entries and agents, by role and state.", "role", "state")
	behindDesc   = describe("members_behind", "Active members that have not reported the newest revision; on the leader only.")
	jobsDesc     = describe("jobs", "Recorded jobs, by state.", "state")
	revisionDesc = describe("config_revision", "Revision of configuration and members.")
	ticketDesc   = describe("highest_ticket", "Highest ticket number that was applied.")
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("cicadapulley_control_"+name, help, labels, nil)
}

// collector reads a control VM's state at each scrape.
type collector struct{ service *Service }

// Collectors returns the control VM's metrics.
func (s *Service) Collectors() []prometheus.Collector { return []prometheus.Collector{collector{s}} }

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		leadsDesc, leaderDesc, termDesc, commitDesc, appliedDesc, lastDesc, votersDesc, learnersDesc,
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
	c.consensus(send)
	c.state(send)
}

type sendMetric func(d *prometheus.Desc, value float64, labels ...string)

func (c collector) consensus(send sendMetric) {
	status := c.service.driver.Status()
	send(leadsDesc, number(c.service.driver.Leading()))
	send(leaderDesc, number(status.Leader != ""))
	send(termDesc, float64(status.Term))
	send(commitDesc, float64(status.Commit))
	send(appliedDesc, float64(status.Applied))
	send(lastDesc, float64(status.LastIndex))
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

// memberCount is the key of a count of members.
type memberCount struct{ role, state string }

func (c collector) state(send sendMetric) {
	var members []state.Member
	var revision, ticket, running, finished uint64
	c.service.driver.Local(func(m *state.Machine) {
		members = m.Members()
		revision, ticket = m.ConfigRevision(), m.HighestTicket()
		running, finished = m.JobCounts()
	})
	counts := map[memberCount]int{}
	for _, m := range members {
		counts[memberCount{string(m.Role), m.State.String()}]++
	}
	for k, n := range counts {
		send(membersDesc, float64(n), k.role, k.state)
	}
	send(jobsDesc, float64(running), "running")
	send(jobsDesc, float64(finished), "finished")
	send(revisionDesc, float64(revision))
	send(ticketDesc, float64(ticket))
	if c.service.driver.Leading() {
		send(behindDesc, float64(len(c.service.leases.behind(members, revision))))
	}
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
