package jobs

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/pollenfront/pollenfront/bootclock"
	"github.com/pollenfront/pollenfront/observe"
	"github.com/pollenfront/pollenfront/scheduler"
)

// recordPlacement counts the reruns among placed tasks by what showed that their former runs
// were over. It logs why the tasks were sent to a server if the job is sampled or one of the tasks
// was sent before. now is when the connections of callers were checked. The caller must hold mu.
func (j *Jobs) recordPlacement(now time.Duration, p *scheduler.Placement) {
	for i := range p.Reruns {
		j.metrics.reruns.WithLabelValues(string(p.Reruns[i].Evidence)).Inc()
	}
	if p.MaxRunNumber == 1 && !observe.Sampled(p.Job) {
		return
	}
	j.logger.Info("tasks placed", zap.String("request", p.Job), zap.String("server", p.Agent), zap.Int("tasks", p.Tasks), zap.Int("run", p.MaxRunNumber),
		zap.Duration("waited", p.Waited), zap.Duration("report-age", p.ReportAge), zap.Int("free-cpu", p.FreeCPU), zap.Float64("slowness", p.Slowness),
		zap.Duration("caller-checked", bootclock.Now()-now), zap.Duration("caller-heard", j.callerHeard(p.Job)), zap.Array("reruns", reruns(p.Reruns)))
}

// callerHeard returns the time since the machine of a caller of the job last sent a packet, or
// zero if that is not known. The caller must hold mu.
func (j *Jobs) callerHeard(job string) time.Duration {
	active, ok := j.submissions[job]
	if !ok || len(active.callers) == 0 {
		return 0
	}
	heard := j.conns.LastHeard(active.callers[0].conn)
	for _, caller := range active.callers[1:] {
		heard = min(heard, j.conns.LastHeard(caller.conn))
	}
	return heard
}

// reruns are the reruns of a placement, as a field of a log line.
type reruns []scheduler.Rerun

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (r reruns) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for i := range r {
		if err := encoder.AppendObject(rerun(r[i])); err != nil {
			return err
		}
	}
	return nil
}

// A rerun is a rerun of a placement, as an object in a log line.
type rerun scheduler.Rerun

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r rerun) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddInt("task", r.Task)
	encoder.AddInt("run", r.Run)
	encoder.AddInt("former", r.Former)
	encoder.AddString("former-agent", r.FormerAgent)
	encoder.AddDuration("former-sent-age", r.FormerSentAge)
	encoder.AddString("ending", string(r.Ending))
	encoder.AddString("evidence", string(r.Evidence))
	encoder.AddDuration("evidence-age", r.EvidenceAge)
	return nil
}
