/* Layouts for the measurements. */
#ifndef CAP_LAYOUT_H
#define CAP_LAYOUT_H

#include "model/layout.h"

/*
 * New layout of the index "index-@index"; the numbers in the target IDs begin
 * with @first_target.
 */
struct layout *cap_layout(uint32_t index, uint32_t shards, uint32_t replicas,
			  uint32_t first_target);

#endif
