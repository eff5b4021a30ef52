/*
 * Case 8: all other machines are lost, and the callers of the deployment come to
 * the one that is left. One after the other, each fetches one large file and keeps
 * its connection open. Checks that requests of others are answered all the while;
 * the platform kills a process that exceeds the memory of its machine.
 */
#include "rig-2.h"

#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FOLDER "review/8"
/* A finished artwork file; the gateway passes on up to 4 MiB. */
#define FILE_BYTES 3000000
/* The site has 133 clients and 8 machines; SMALL_CALLERS are among them. */
#define CALLERS_ALL (133 - SMALL_CALLERS)
#define CALLERS_SHARE (133 / 8 - SMALL_CALLERS)
#define POLL_MS 20
/* Callers with small requests, and the time that a searcher works on one. */
#define SMALL_CALLERS 12
#define SMALL_WORK_MS 100
/* LOST: more than three times. */
#define LOST_MAX 3
#define MIB 1048576.0

static _Atomic int is_over;
static _Atomic int is_killed;
static _Atomic int peak_mb;
static _Atomic int lost;
static struct searcher *small_searcher;

/* The platform: "A process that exceeds memoryMb is killed." */
static void *platform_thread(void *arg)
{
	while (!is_over) {
		double mb = gateway_rss_mb() * 1e6 / MIB;

		if (mb > peak_mb)
			peak_mb = (int)mb;
		if (mb > MEMORY_MB) {
			record("the process has %.0f MB, more than %d MB: the "
			       "platform kills it",
			       mb, MEMORY_MB);
			is_killed = 1;
			gateway_signal(SIGKILL);
			break;
		}
		rig_sleep(POLL_MS);
	}
	return arg;
}

/* 1 if the searcher has run request @id. */
static int was_passed_on(const char *id)
{
	int found = 0;
	size_t i;

	pthread_mutex_lock(&small_searcher->lock);
	for (i = 0; i < small_searcher->run_count && !found; i++)
		found = strcmp(small_searcher->runs[i].id, id) == 0;
	pthread_mutex_unlock(&small_searcher->lock);
	return found;
}

/* A caller with small requests on a kept connection, all the while. */
static void *small_thread(void *arg)
{
	struct caller c;
	char text[512];
	char id[64];
	int n;

	if (!caller_connect(&c))
		cannot_run("no connection");
	for (n = 0; !is_over; n++) {
		struct answer a;
		int len;

		snprintf(id, sizeof(id), "small%d-%d", *(int *)arg, n);
		len = request_head(text, sizeof(text), "GET", "/notes/a", id,
				   4000, 0);
		if (!caller_send(&c, text, (size_t)len))
			break;
		a = caller_read(&c, 5000);
		if (a.status)
			continue;
		record("GET id %s, %d. on its connection: the connection ended "
		       "without an answer; passed on to the searcher: %s",
		       id, n + 1, was_passed_on(id) ? "yes" : "no");
		lost += n > 0 && was_passed_on(id);
		break;
	}
	caller_close(&c);
	return NULL;
}

int main(void)
{
	int count = rig_trouble() ? CALLERS_ALL : CALLERS_SHARE;
	struct caller *callers = calloc((size_t)count, sizeof(*callers));
	char text[512];
	int served = 0;
	pthread_t platform;
	pthread_t small[SMALL_CALLERS];
	int numbers[SMALL_CALLERS];
	int i;

	rig_init(FOLDER);
	store_start();
	store_put_config(1, "idempotent", 262144);
	searcher_start("i-7f3a91c2", "files", 2)->answer_bytes = FILE_BYTES;
	searcher_start("i-02d9e6b4", "files", 2)->answer_bytes = FILE_BYTES;
	small_searcher = searcher_start("i-11c0ffe1", "notes", SMALL_WORK_MS);
	gateway_start();
	rig_sleep(CONTACT_MS);
	record("the process has %.0f MB", gateway_rss_mb() * 1e6 / MIB);
	pthread_create(&platform, NULL, platform_thread, NULL);
	for (i = 0; i < SMALL_CALLERS; i++) {
		numbers[i] = i;
		pthread_create(&small[i], NULL, small_thread, &numbers[i]);
	}
	rig_sleep(500);
	for (i = 0; i < count && !is_killed; i++) {
		char id[64];
		struct answer a = { 0 };
		int len;

		snprintf(id, sizeof(id), "caller%d", i);
		len = request_head(text, sizeof(text), "GET", "/files/art", id,
				   4000, 0);
		if (caller_connect(&callers[i]) &&
		    caller_send(&callers[i], text, (size_t)len))
			a = caller_read(&callers[i], 5000);
		served += a.status == 200;
		/* The connection stays open; the caller needs no memory. */
		free(callers[i].in);
		callers[i].in = NULL;
		callers[i].len = callers[i].cap = 0;
		if (a.status != 200)
			record("GET id %s: answer %d", id, a.status);
		if (i % 20 == 19)
			record("%d callers have fetched one file each, one "
			       "after the other, %d were answered; the process "
			       "has %.0f MB",
			       i + 1, served, gateway_rss_mb() * 1e6 / MIB);
	}
	rig_sleep(1000);
	is_over = 1;
	pthread_join(platform, NULL);
	for (int n = 0; n < SMALL_CALLERS; n++)
		pthread_join(small[n], NULL);
	record("%d connections of callers, at most one file in flight "
	       "at any time, peak %d MB of %d MB: %s",
	       i, peak_mb, MEMORY_MB,
	       is_killed ? "killed by the platform" : "not killed");
	record("requests from kept connections that were passed on to a sound "
	       "searcher and whose connection was closed without an answer: %d",
	       lost);
	gateway_kill();
	return lost > LOST_MAX ? BROKEN : HELD;
}
