/*
 * Hosts are stopped and started in turn while their settings files change, so
 * that a host that has just been started is told so with SIGHUP. Checks that no
 * process ends by itself.
 */
#include "rig-2.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define FOLDER "review/10"
#define ROUNDS 3
/* Time from the start of the program in the process to the signal. */
#define SIGNAL_MS 2
#define READY_MS 10000

/* Waits until @host is ready; 0 if its process has ended. */
static int wait_ready(int host, pid_t pid)
{
	double until_ms = rig_ms() + READY_MS;

	while (rig_ms() < until_ms) {
		siginfo_t info = { 0 };

		waitid(P_PID, (id_t)pid, &info, WEXITED | WNOHANG | WNOWAIT);
		if (info.si_pid)
			return 0;
		if (host_is_ready(host))
			return 1;
		rig_sleep(20);
	}
	cannot_run("host %d is not ready", host);
}

/* Waits until the process runs the gateway's program. */
static void wait_program(pid_t pid)
{
	static const char name[] = "/target/cowslippoint";
	double until_ms = rig_ms() + READY_MS;
	char path[64];
	char target[512];
	ssize_t n;

	snprintf(path, sizeof(path), "/proc/%d/exe", (int)pid);
	while (rig_ms() < until_ms) {
		n = readlink(path, target, sizeof(target) - 1);
		target[n > 0 ? n : 0] = '\0';
		if (n >= (ssize_t)sizeof(name) - 1 &&
		    strcmp(target + n - (ssize_t)sizeof(name) + 1, name) == 0)
			return;
		rig_sleep(0.2);
	}
	cannot_run("process %d does not run the program", (int)pid);
}

int main(void)
{
	int ended[HOSTS_MAX] = { 0 };
	int hosts_at_fault = 0;
	pid_t pid;
	int round;
	int host;

	rig_init(FOLDER);
	store_start();
	store_put_config(1, "idempotent", 262144);
	searcher_start("i-7f3a91c2", "files", 5);
	for (host = 0; host < HOSTS_MAX; host++) {
		if (!wait_ready(host, host_spawn(host)))
			cannot_run("host %d ended at its first start", host);
	}
	rig_sleep(CONTACT_MS);
	for (round = 0; round < ROUNDS; round++) {
		for (host = 0; host < HOSTS_MAX; host++) {
			host_signal(host, SIGTERM);
			host_wait(host);
			pid = host_spawn(host);
			record("host %d was stopped and is started again, "
			       "process %d",
			       host, (int)pid);
			if (rig_trouble()) {
				wait_program(pid);
				rig_sleep(SIGNAL_MS);
				host_write_settings(host);
				host_signal(host, SIGHUP);
				record("its settings file was written anew; "
				       "SIGHUP");
			}
			if (wait_ready(host, pid)) {
				record("host %d is ready", host);
				continue;
			}
			record("host %d: the process has ended, wait status %d",
			       host, host_wait(host));
			ended[host]++;
			/* The platform starts a process that ends again. */
			if (!wait_ready(host, host_spawn(host)))
				cannot_run("host %d ended again", host);
		}
	}
	for (host = 0; host < HOSTS_MAX; host++) {
		record("host %d: processes that ended by themselves: %d", host,
		       ended[host]);
		hosts_at_fault += ended[host] >= 3;
	}
	/* Fault: on two machines at least, three times. */
	return hosts_at_fault >= 2 ? BROKEN : HELD;
}
