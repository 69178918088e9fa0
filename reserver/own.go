package reserver

import (
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// controlGroups is where the kernel shows the limits of control groups (version 2).
const controlGroups = "/sys/fs/cgroup"

// OwnMachine returns what the process may use by its own limits: the lowest of GOMEMLIMIT, the
// limit of its control group, that of its address space and the machine's memory, and the limit
// of its open files. It must be called before the collector's limit is set.
func OwnMachine() Machine {
	m := Machine{Memory: debug.SetMemoryLimit(-1), Descriptors: minConnections}
	for _, limit := range []int64{groupMemory(), resource(unix.RLIMIT_AS), machineMemory()} {
		if limit > 0 {
			m.Memory = min(m.Memory, limit)
		}
	}
	if m.Memory == math.MaxInt64 {
		m.Memory = 0
	}
	if files := resource(unix.RLIMIT_NOFILE); files > 0 {
		m.Descriptors = int(files)
	}
	return m
}

// Or returns the machine with what settings name in place of its own limits; 0 names nothing.
func (m Machine) Or(memory int64, descriptors int) Machine {
	if memory > 0 {
		m.Memory = memory
	}
	if descriptors > 0 {
		m.Descriptors = descriptors
	}
	return m
}

// resource returns a limit of the process, 0 for none.
func resource(which int) int64 {
	var r unix.Rlimit
	if err := unix.Getrlimit(which, &r); err != nil || r.Cur > math.MaxInt64 {
		return 0
	}
	return int64(r.Cur)
}

// machineMemory returns the memory of the machine in bytes, 0 if it is not known.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// groupMemory returns the limit of the process's control group in bytes, 0 for none.
func groupMemory() int64 {
	raw, err := os.ReadFile("/proc/self/cgroup")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		path, ok := strings.CutPrefix(strings.TrimSpace(line), "0::")
		if !ok {
			continue
		}
		// Without a limit the file has the word max.
		text, err := os.ReadFile(filepath.Join(controlGroups, path, "memory.max"))
		if err != nil {
			return 0
		}
		limit, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
		return limit
	}
	return 0
}
