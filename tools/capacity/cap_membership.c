/* Cost of membership, heartbeats and host list against the number of hosts. */
#include <stdio.h>
#include <string.h>

#include "base/util.h"
#include "cap.h"
#include "codec/host_list_json.h"
#include "codec/peer_msg.h"
#include "controller/membership.h"

/* Ticks of the controller in one second. */
#define TICKS_PER_S 10
/* Simulated seconds of each run. */
#define SECONDS 200
/* IPv4 and UDP headers of a datagram. */
#define UDP_BYTES 28

static const uint32_t host_counts[] = { 100, 425, 850, 1275, 1700 };

static void ignore_change(void *ctx, const struct member_info *m)
{
}

static void make_heartbeat(struct heartbeat *h, uint32_t n, uint64_t sequence)
{
	memset(h, 0, sizeof(*h));
	snprintf(h->host, sizeof(h->host), "entry-host-%05u", n);
	snprintf(h->data_centre, sizeof(h->data_centre), "dc-%02u", n % 18);
	snprintf(h->address, sizeof(h->address), "10.%u.%u.%u", n / 65536,
		 n / 256 % 256, n % 256);
	h->port = 8082;
	h->incarnation = 1;
	h->sequence = sequence;
	h->state = HOST_LIVE;
	h->config_rev = 1;
}

static struct host_list *make_list(uint32_t hosts)
{
	struct host_list *l = util_alloc(1, sizeof(*l));
	uint32_t i;

	l->rev = 1;
	l->count = hosts;
	l->hosts = util_alloc(hosts, sizeof(*l->hosts));
	for (i = 0; i < hosts; i++) {
		struct listed_host *h = &l->hosts[i];
		struct heartbeat beat;

		make_heartbeat(&beat, i + 1, 1);
		util_copy_str(h->id, sizeof(h->id), beat.host);
		util_copy_str(h->address, sizeof(h->address), beat.address);
		util_copy_str(h->data_centre, sizeof(h->data_centre),
			      beat.data_centre);
		h->port = beat.port;
		h->is_entry_host = 1;
	}
	return l;
}

static struct membership *make_membership(uint32_t hosts)
{
	struct membership_ops ops = { ignore_change, NULL };
	struct member_info self = { .host = "entry-host-00000",
				    .data_centre = "dc-00",
				    .address = "10.0.0.0",
				    .port = 8082,
				    .incarnation = 1 };
	struct membership *m = membership_new(&self, &ops, 1, 0);
	struct host_list *l = make_list(hosts - 1);

	membership_on_host_list(m, 0, l);
	host_list_free(l);
	return m;
}

static void count_receiver(void *ctx, const char *address, uint16_t port)
{
	(*(uint32_t *)ctx)++;
}

struct membership_run {
	uint32_t hosts;
	/* Hosts that got the last heartbeat. */
	uint32_t receivers;
};

/*
 * Simulates one second of one host: its ticks, its own heartbeat, and as many
 * received heartbeats as it sends.
 */
static void one_second(struct membership *m, struct membership_run *r,
		       int64_t *now_us, uint32_t second)
{
	struct heartbeat h = { 0 };
	uint32_t i;

	for (i = 0; i < TICKS_PER_S; i++) {
		*now_us += US_PER_S / TICKS_PER_S;
		membership_tick(m, *now_us);
	}
	membership_fill_heartbeat(m, &h);
	r->receivers = 0;
	membership_each_receiver(m, count_receiver, &r->receivers);
	for (i = 0; i < r->receivers; i++) {
		make_heartbeat(&h, 1 + (second * 31 + i * 7) % (r->hosts - 1),
			       second + 1);
		membership_on_heartbeat(m, *now_us, &h);
	}
}

/* CPU time of one simulated second. */
static double second_cpu_us(void *ctx)
{
	struct membership_run *r = ctx;
	struct membership *m = make_membership(r->hosts);
	int64_t now_us = 0;
	double start_us = cap_cpu_us();
	double spent_us;
	uint32_t i;

	for (i = 0; i < SECONDS; i++)
		one_second(m, r, &now_us, i);
	spent_us = cap_cpu_us() - start_us;
	membership_free(m);
	return spent_us / SECONDS;
}

static double membership_bytes(void *ctx)
{
	struct membership_run *r = ctx;
	double before = cap_heap_bytes();
	struct membership *m = make_membership(r->hosts);
	double bytes = cap_heap_bytes() - before;

	membership_free(m);
	return bytes;
}

static double join_all_us(void *ctx)
{
	struct membership_run *r = ctx;
	double start_us = cap_cpu_us();

	membership_free(make_membership(r->hosts));
	return cap_cpu_us() - start_us;
}

static double list_decode_us(void *ctx)
{
	const struct buf *b = ctx;
	struct err err = { 0 };
	double start_us = cap_cpu_us();

	host_list_free(host_list_json_decode(b->data, NULL, &err));
	return cap_cpu_us() - start_us;
}

static void measure_list(struct cap *c)
{
	static const uint32_t sizes[] = { 1700, 5000, 10000, 14700 };
	struct cap_series *cpu =
		cap_start(c, "host list decoding", "entry", "us");
	uint32_t i;
	uint32_t k;

	for (i = 0; i < countof(sizes); i++) {
		struct buf b CLEANUP_BUF = { 0 };

		buf_addf(&b, "{\"revision\":5,\"hosts\":[");
		for (k = 0; k < sizes[i]; k++)
			buf_addf(&b,
				 "%s{\"id\":\"entry-host-%05u\",\"address\":"
				 "\"10.0.0.1\",\"port\":6001,\"data_centre\":"
				 "\"dc-01\",\"role\":\"entry\",\"state\":"
				 "\"live\"}",
				 k ? "," : "", k);
		buf_addf(&b, "]}");
		cap_point(cpu, sizes[i], cap_median(list_decode_us, &b));
	}
	cap_fit(cpu);
}

static void measure_bytes(struct cap *c)
{
	static const uint32_t sizes[] = { 2, 4, 8, 10, 100, 425, 1700 };
	struct cap_series *s =
		cap_start(c, "heartbeat bytes sent", "host", "bytes/s");
	struct heartbeat h;
	struct peer_msg_heartbeat x;
	uint32_t bytes;
	uint32_t i;

	make_heartbeat(&h, 1, 1000);
	bytes = peer_msg_from_heartbeat(&h, &x) + UDP_BYTES;
	for (i = 0; i < countof(sizes); i++) {
		struct membership *m = make_membership(sizes[i]);
		uint32_t receivers = 0;

		membership_each_receiver(m, count_receiver, &receivers);
		cap_point(s, sizes[i], (double)receivers * bytes);
		membership_free(m);
	}
	cap_fit(s);
}

void cap_membership(struct cap *c)
{
	struct cap_series *cpu = cap_start(c, "membership CPU", "host", "us/s");
	struct cap_series *s;
	struct membership_run r;
	uint32_t i;

	for (i = 0; i < countof(host_counts); i++) {
		r.hosts = host_counts[i];
		cap_point(cpu, r.hosts, cap_median(second_cpu_us, &r));
	}
	cap_fit(cpu);
	s = cap_start(c, "membership memory", "host", "bytes");
	for (i = 0; i < countof(host_counts); i++) {
		r.hosts = host_counts[i];
		cap_point(s, r.hosts, cap_median(membership_bytes, &r));
	}
	cap_fit(s);
	/*
	 * Each host that joins makes membership go over all hosts for partners.
	 */
	s = cap_start(c, "first host list", "host", "us");
	for (i = 0; i < countof(host_counts); i++) {
		r.hosts = host_counts[i];
		cap_point(s, r.hosts, cap_median(join_all_us, &r));
	}
	cap_fit(s);
	measure_list(c);
	measure_bytes(c);
}
