#include "proc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/util.h"

#define STOP_WAIT_MS 3000
#define STOP_STEP_MS 10
#define LINE_BYTES 256
#define PROCS_MAX 64
/*
 * The range lies below the ports that the system gives to outgoing
 * connections, because one of these could take a port before the host listens
 * on it.
 */
#define PORT_FIRST 12000
#define PORT_COUNT 20000
/*
 * Distance between the first ports that processes with consecutive IDs try, so
 * that benches that run at once do not take each other's ports.
 */
#define PORT_STRIDE 97
#define LOG_PATH "build/bench.log"

struct proc {
	pid_t pid;
	/* Read end of the child's standard output. */
	int out;
	char line[LINE_BYTES];
	size_t line_bytes;
};

static struct proc *procs[PROCS_MAX];
static volatile sig_atomic_t interrupted;

static void on_signal(int number)
{
	interrupted = 1;
}

int proc_interrupted(void)
{
	return interrupted;
}

void proc_init(void)
{
	struct sigaction sa = { .sa_handler = on_signal };

	sigaction(SIGINT, &sa, NULL);
	sigaction(SIGTERM, &sa, NULL);
	atexit(proc_stop_all);
}

/* Standard error goes to LOG_PATH, so that it does not mix with the table. */
static void run_child(const char *const *args, int out, pid_t parent)
{
	int log = open(LOG_PATH, O_WRONLY | O_CREAT | O_APPEND, 0644);

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	/* The parent may have ended before prctl() took effect. */
	if (getppid() != parent)
		_exit(1);
	dup2(out, STDOUT_FILENO);
	if (log >= 0)
		dup2(log, STDERR_FILENO);
	execv(args[0], (char *const *)args);
	_exit(127);
}

static int free_slot(void)
{
	int i;

	for (i = 0; i < PROCS_MAX; i++) {
		if (!procs[i])
			return i;
	}
	return -1;
}

struct proc *proc_start(const char *const *args, struct err *err)
{
	struct proc *p;
	pid_t parent = getpid();
	int at = free_slot();
	int fds[2];
	pid_t pid;

	if (at < 0 || pipe2(fds, O_CLOEXEC) < 0) {
		err_set(err, ERR_IO, "cannot start %s", args[0]);
		return NULL;
	}
	pid = fork();
	if (pid == 0)
		run_child(args, fds[1], parent);
	close(fds[1]);
	if (pid < 0) {
		close(fds[0]);
		err_set(err, ERR_IO, "cannot fork: %s", strerror(errno));
		return NULL;
	}
	p = util_alloc(1, sizeof(*p));
	p->pid = pid;
	p->out = fds[0];
	procs[at] = p;
	return p;
}

/*
 * Returns 1 when p->line holds a whole line, 0 at the end of the output, at
 * @until_us, after a signal or when the line is too long.
 */
static int read_line(struct proc *p, int64_t until_us)
{
	struct pollfd fd = { p->out, POLLIN, 0 };

	p->line_bytes = 0;
	while (p->line_bytes < LINE_BYTES - 1 && !interrupted) {
		int64_t left_us = until_us - clock_now_us();

		if (left_us <= 0 ||
		    poll(&fd, 1, (int)(left_us / US_PER_MS) + 1) <= 0)
			return 0;
		if (read(p->out, p->line + p->line_bytes, 1) != 1)
			return 0;
		if (p->line[p->line_bytes] == '\n') {
			p->line[p->line_bytes] = '\0';
			return 1;
		}
		p->line_bytes++;
	}
	return 0;
}

int64_t proc_number(struct proc *p, const char *word, int64_t wait_us)
{
	int64_t until_us = clock_now_us() + wait_us;

	while (read_line(p, until_us)) {
		const char *last = strrchr(p->line, ' ');

		if (strncmp(p->line, word, strlen(word)) == 0 && last)
			return strtol(last + 1, NULL, 10);
	}
	return -1;
}

static int64_t cpu_us(const struct rusage *u)
{
	return (int64_t)(u->ru_utime.tv_sec + u->ru_stime.tv_sec) * US_PER_S +
	       u->ru_utime.tv_usec + u->ru_stime.tv_usec;
}

static void proc_free(struct proc *p)
{
	int i;

	for (i = 0; i < PROCS_MAX; i++) {
		if (procs[i] == p)
			procs[i] = NULL;
	}
	close(p->out);
	free(p);
}

int64_t proc_stop(struct proc *p)
{
	struct rusage usage = { 0 };
	int waited_ms;
	pid_t ended = 0;

	if (!p)
		return 0;
	kill(p->pid, SIGTERM);
	for (waited_ms = 0; waited_ms < STOP_WAIT_MS && ended == 0;
	     waited_ms += STOP_STEP_MS) {
		ended = wait4(p->pid, NULL, WNOHANG, &usage);
		if (ended == 0)
			poll(NULL, 0, STOP_STEP_MS);
	}
	if (ended == 0) {
		kill(p->pid, SIGKILL);
		wait4(p->pid, NULL, 0, &usage);
	}
	proc_free(p);
	return cpu_us(&usage);
}

void proc_stop_all(void)
{
	int i;

	for (i = 0; i < PROCS_MAX; i++) {
		if (procs[i])
			proc_stop(procs[i]);
	}
}

static int is_free(int type, uint16_t port)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons(port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	int ok = fd >= 0 && bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0;

	if (fd >= 0)
		close(fd);
	return ok;
}

uint16_t proc_free_port(struct err *err)
{
	static uint32_t next;
	uint32_t tries;

	if (!next)
		next = (uint32_t)getpid() * PORT_STRIDE;
	for (tries = 0; tries < PORT_COUNT; tries++) {
		uint16_t port = (uint16_t)(PORT_FIRST + next++ % PORT_COUNT);

		if (is_free(SOCK_STREAM, port) && is_free(SOCK_DGRAM, port))
			return port;
	}
	err_set(err, ERR_IO, "no port of 127.0.0.1 is free for TCP and UDP");
	return 0;
}
