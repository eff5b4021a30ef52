#include "cap_layout.h"

#include <stdio.h>

struct layout *cap_layout(uint32_t index, uint32_t shards, uint32_t replicas,
			  uint32_t first_target)
{
	struct layout *l = layout_new(shards, shards * replicas);
	uint32_t i;

	snprintf(l->index, sizeof(l->index), "index-%u", index);
	util_copy_str(l->snapshot, sizeof(l->snapshot), "s1");
	util_copy_str(l->service, sizeof(l->service), "service-1");
	for (i = 0; i < l->target_count; i++) {
		struct target *t = &l->targets[i];
		struct shard *s = &l->shards[i / replicas];

		snprintf(t->id, sizeof(t->id), "target-%05u", first_target + i);
		snprintf(t->address, sizeof(t->address), "10.1.%u.%u",
			 (first_target + i) / 256 % 256,
			 (first_target + i) % 256);
		t->port = 9000;
		snprintf(t->data_centre, sizeof(t->data_centre), "dc-%02u",
			 i % 18);
		util_copy_str(t->version, sizeof(t->version), "v1");
		t->slots = 4;
		t->connections = 40;
		t->cold_slots = 1;
		t->connect_us = 6000;
		snprintf(s->name, sizeof(s->name), "shard-%04u", i / replicas);
		s->replicas[s->replica_count++] = i;
	}
	return l;
}
