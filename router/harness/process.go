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

// Process is one started program.
type Process struct {
	Name string
	// LogFile collects the program's output over all its starts.
	LogFile string
	program string
	args    []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newProcess(name, folder, program string, args ...string) *Process {
	return &Process{Name: name, LogFile: filepath.Join(folder, name+".log"), program: program, args: args}
}

// Start starts the program if it does not run.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		select {
		case <-p.done: // it has ended by itself
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
	// The child ends with this process, also when this process is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait() // the state is read from cmd
		close(done)
	}(p.done)
	return nil
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended by itself
	}
}

// Freeze stops the process without ending it.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait(10 * time.Second)
}

// Terminate asks for a graceful shutdown and returns the exit code, -1 if the
// process did not end within the time.
func (p *Process) Terminate(limit time.Duration) int {
	p.signal(syscall.SIGTERM)
	return p.wait(limit)
}

func (p *Process) wait(limit time.Duration) int {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
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

// StopLimit is a generous time for a graceful shutdown.
const StopLimit = 30 * time.Second

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Log returns the program's output so far.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.LogFile)
	if err != nil {
		return ""
	}
	return string(data)
}
