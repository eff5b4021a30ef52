#include "proc.h"

#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/util.h"

/*
 * Forks with all signals blocked, and restores what the program expects before
 * they are unblocked in the child: a signal that is sent to the child before it
 * runs its program must not be taken by a handler of this process.
 */
static pid_t fork_child(void)
{
	sigset_t all;
	sigset_t before;
	pid_t pid;

	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &before);
	pid = fork();
	if (pid == 0) {
		signal(SIGTERM, SIG_DFL);
		signal(SIGINT, SIG_DFL);
		sigemptyset(&before);
	}
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	return pid;
}

/* In the child: redirects its output and runs the program. */
static void run_child(const char *const *argv, const char *log_path, int out_fd)
{
	int log_fd = -1;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(out_fd, STDOUT_FILENO);
	if (log_path)
		log_fd = open(log_path,
			      O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644);
	if (log_fd >= 0)
		dup2(log_fd, STDERR_FILENO);
	execv(argv[0], (char *const *)argv);
	_exit(127);
}

/*
 * Reads one line; returns 0 at the end of the file, or when @until_us is over.
 */
static int read_line(int fd, char *line, size_t size_bytes, int64_t until_us)
{
	size_t len = 0;

	for (;;) {
		struct pollfd p = { fd, POLLIN, 0 };
		int64_t left_us = until_us - clock_now_us();
		char c;

		if (left_us <= 0 ||
		    poll(&p, 1, (int)(left_us / US_PER_MS) + 1) <= 0)
			return 0;
		if (read(fd, &c, 1) != 1)
			return 0;
		if (c == '\n')
			break;
		if (len + 1 < size_bytes)
			line[len++] = c;
	}
	line[len] = '\0';
	return 1;
}

void proc_sibling(const char *argv0, const char *name, char *path,
		  size_t size_bytes)
{
	const char *slash = strrchr(argv0, '/');

	snprintf(path, size_bytes, "%.*s%s",
		 slash ? (int)(slash - argv0) + 1 : 0, argv0, name);
	setenv("TSAN_OPTIONS", "halt_on_error=1", 1);
	/*
	 * The sanitizers do not see the lock of GLib's own allocator and take a
	 * block that it hands from one thread to another for a data race.
	 */
	setenv("G_SLICE", "always-malloc", 1);
}

int proc_start(struct proc *p, const char *const *argv, const char *log_path,
	       uint32_t timeout_ms)
{
	int64_t until_us = clock_now_us() + (int64_t)timeout_ms * US_PER_MS;
	char line[256];
	int fds[2];

	memset(p, 0, sizeof(*p));
	if (pipe2(fds, O_CLOEXEC) != 0)
		return -1;
	p->pid = fork_child();
	if (p->pid == 0)
		run_child(argv, log_path, fds[1]);
	close(fds[1]);
	p->out_fd = fds[0];
	while (read_line(p->out_fd, line, sizeof(line), until_us)) {
		size_t used = strlen(p->text);

		snprintf(p->text + used, sizeof(p->text) - used, "%s\n", line);
		if (strncmp(line, "ready", strlen("ready")) == 0)
			return 0;
	}
	proc_kill(p);
	return -1;
}

int proc_spawn(struct proc *p, const char *const *argv, const char *log_path)
{
	int fd =
		open(log_path, O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, 0644);

	memset(p, 0, sizeof(*p));
	if (fd < 0)
		return -1;
	p->pid = fork_child();
	if (p->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execv(argv[0], (char *const *)argv);
		_exit(127);
	}
	p->out_fd = fd;
	return p->pid > 0 ? 0 : -1;
}

uint32_t proc_number(const struct proc *p, const char *name)
{
	char key[64];
	const char *at;

	snprintf(key, sizeof(key), " %s=", name);
	at = strstr(p->text, key);
	if (at)
		return (uint32_t)strtoul(at + strlen(key), NULL, 10);
	snprintf(key, sizeof(key), "%s ", name);
	at = strstr(p->text, key);
	while (at && at != p->text && at[-1] != '\n')
		at = strstr(at + 1, key);
	return at ? (uint32_t)strtoul(at + strlen(key), NULL, 10) : 0;
}

void proc_signal(const struct proc *p, int signal_number)
{
	if (p->pid > 0)
		kill(p->pid, signal_number);
}

int proc_wait(struct proc *p)
{
	int status = 0;

	if (p->pid <= 0)
		return -1;
	waitpid(p->pid, &status, 0);
	close(p->out_fd);
	p->pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int proc_stop(struct proc *p)
{
	proc_signal(p, SIGTERM);
	return proc_wait(p);
}

void proc_kill(struct proc *p)
{
	proc_signal(p, SIGKILL);
	proc_wait(p);
}
