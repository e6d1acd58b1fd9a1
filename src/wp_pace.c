/* The pacing of requests to cold endpoints. */
#include "wp_pace.h"
#include "wp_time_ring.h"
#include "wp_share.h"

#include <math.h>

#define WINDOW_US ((int64_t)WP_PACE_WINDOW_MS * WP_US_PER_MS)

/* The part of the limit that boxes with the same set of boxes use. Two groups
   with sets that have nothing in common would together reach the limit. */
#define LIMIT_SHARE 0.5

/* The part of that which goes to the boxes of the endpoint's zone, where most
   requests for it come from; the others get the rest. A single quota for all
   would send the requests of a small zone to other zones. */
#define LOCAL_SHARE 0.75

void wp_pace_boxes_init(WPPaceBoxes *b)
{
    const WPPaceBox self = { 0, "" };
    *b = (WPPaceBoxes){ .all = g_array_new(FALSE, FALSE, sizeof(WPPaceBox)) };
    wp_pace_boxes_set(b, &self, NULL, 0, 1);
}

void wp_pace_boxes_end(WPPaceBoxes *b)
{
    g_array_unref(b->all);
}

static void add_box(WPPaceBoxes *b, const WPPaceBox *box)
{
    const WPPaceBox own = { box->hash, g_intern_string(box->zone) };
    g_array_append_val(b->all, own);
}

void wp_pace_boxes_invalidate(WPPaceBoxes *b)
{
    b->generation = MAX(b->generation + 1, 1);
}

void wp_pace_boxes_set(WPPaceBoxes *b, const WPPaceBox *self,
                       const WPPaceBox *others, size_t n, unsigned min_count)
{
    g_array_set_size(b->all, 0);
    add_box(b, self);
    b->self = g_array_index(b->all, WPPaceBox, 0);
    for (size_t i = 0; i < n; i++)
        if (others[i].hash != self->hash)
            add_box(b, &others[i]);
    b->min_count = MAX(min_count, b->all->len);
    wp_pace_boxes_invalidate(b);
}

/* The boxes on this box's side: inside the endpoint's zone, or outside it. */
typedef struct Side {
    bool is_local;
    GArray *boxes;   /* WPShare, this box first */
    unsigned others; /* boxes on the other side */
} Side;

static void add_share(Side *s, uint64_t key)
{
    const WPShare share = { key, 1 };
    g_array_append_val(s->boxes, share);
}

/* The known boxes that are, as this box, in the zone of the endpoint or, as
   this box, outside of it, and the number of the others. Boxes that are
   expected but not known count on this side. The caller frees `boxes`. */
static Side side_of(const WPPaceBoxes *b, const char *zone)
{
    Side s = { .is_local = !strcmp(b->self.zone, zone),
               .boxes = g_array_new(FALSE, FALSE, sizeof(WPShare)) };
    for (guint i = 0; i < b->all->len; i++) {
        const WPPaceBox *o = &g_array_index(b->all, WPPaceBox, i);
        if (!strcmp(o->zone, zone) == s.is_local)
            add_share(&s, o->hash);
        else
            s.others++;
    }
    /* Boxes that are not known may be on this side. */
    for (unsigned i = b->all->len; i < b->min_count; i++)
        add_share(&s, i);
    return s;
}

unsigned wp_pace_quota(const WPPaceBoxes *b, const WPPaceRules *r,
                       uint64_t endpoint, const char *zone)
{
    double limit = floor(r->per_s * r->overshoot + r->slack);
    unsigned all = (unsigned)MAX(limit * LIMIT_SHARE, 1);
    unsigned local = (unsigned)ceil(all * LOCAL_SHARE);
    Side s = side_of(b, zone);
    unsigned side_quota = !s.others ? all : s.is_local ? local : all - local;
    unsigned quota = wp_share_of((const WPShare *)(void *)s.boxes->data,
                                 s.boxes->len, 0, side_quota, endpoint);
    g_array_unref(s.boxes);
    return MIN(quota, WP_PACE_QUOTA_MAX);
}

void wp_pace_record_send(WPPace *p, WPTime now)
{
    wp_time_ring_add(p->sent_us, WP_PACE_QUOTA_MAX, &p->oldest, now);
}

int64_t wp_pace_next_send_us(const WPPace *p, unsigned quota)
{
    if (!quota)
        return INT64_MAX;
    return wp_time_ring_expiry_us(p->sent_us, WP_PACE_QUOTA_MAX, p->oldest,
                                  quota, WINDOW_US);
}
