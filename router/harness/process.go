package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process runs one program, which can be started several times.
type Process struct {
	Name string
	// LogFile receives the program's output of all its starts.
	LogFile string
	program string
	args    []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func newProcess(name, folder, program string, args ...string) *Process {
	return &Process{Name: name, LogFile: filepath.Join(folder, name+".log"), program: program, args: args}
}

// Start starts the program if it is not running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		select {
		case <-p.exited:
		default:
			return nil
		}
	}
	log, err := os.OpenFile(p.LogFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the child when this process ends, also by SIGKILL.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait() // the state is read from cmd.ProcessState
		close(done)
	}(p.exited)
	return nil
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails if the process has exited
	}
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits up to 10 s for the process to exit.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait(10 * time.Second)
}

// Terminate sends SIGTERM and returns the exit code. It returns -1 if the process did
// not exit within limit or was ended by a signal, and 0 if it was never started or if
// Kill or Terminate has already awaited its end.
func (p *Process) Terminate(limit time.Duration) int {
	p.signal(syscall.SIGTERM)
	return p.wait(limit)
}

func (p *Process) wait(limit time.Duration) int {
	p.mu.Lock()
	cmd, done := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	select {
	case <-done:
	case <-time.After(limit):
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		p.cmd = nil
	}
	return cmd.ProcessState.ExitCode()
}

// StopLimit bounds a graceful shutdown; it is long, for busy machines.
const StopLimit = 30 * time.Second

// Running reports whether the process was started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Log returns the program's output so far, of all its starts, or "" if the log file
// cannot be read.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.LogFile)
	if err != nil {
		return ""
	}
	return string(data)
}
