#include "base/clock.h"

#include <time.h>

#include "base/util.h"

static int64_t read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

int64_t clock_now_us(void)
{
	return read_us(CLOCK_BOOTTIME);
}

int64_t clock_wall_us(void)
{
	return read_us(CLOCK_REALTIME);
}

int64_t clock_cpu_us(void)
{
	return read_us(CLOCK_PROCESS_CPUTIME_ID);
}
