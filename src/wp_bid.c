/* Costs at an engine. */
#include "wp_bid.h"

#define KILO 1000.0

static const WPKeeper *keeper_of(const WPKeepers *k, const char *version)
{
    for (unsigned i = 0; i < k->n; i++)
        if (!strcmp(k->of[i].replica->version, version))
            return &k->of[i];
    return NULL;
}

static void note_keeper(WPKeepers *k, const WPReplica *s, uint32_t tokens)
{
    WPKeeper *of = (WPKeeper *)keeper_of(k, s->version);
    if (!of && k->n < WP_KEEPERS_MOST)
        k->of[k->n++] = (WPKeeper){ s, tokens };
    else if (of && tokens > of->tokens)
        *of = (WPKeeper){ s, tokens };
}

void wp_keepers_find(WPKeepers *k, WPTime now, const WPWant *w,
                     const GPtrArray *list)
{
    k->n = 0;
    for (guint i = 0; w->prompt && i < list->len; i++) {
        const WPReplica *s = g_ptr_array_index(list, i);
        uint32_t tokens = wp_kept_tokens(s->kept, now, w->model, w->prompt);
        k->own[i] = tokens;
        bool spared =
            s->zone_out || wp_fleet_limit_of(s) > 0 || wp_fleet_rests(s, now);
        /* What lies elsewhere may not be copied from there either. */
        bool allowed = wp_fleet_in_areas(w, s);
        if (tokens && allowed && !s->unreachable && !s->unreadable && !spared)
            note_keeper(k, s, tokens);
    }
}

/* Streams that run there and will pause for too long as this prompt is read,
   which would not without it. */
static double pause_cost(const WPWant *w, const WPWork *work)
{
    if (!w->pauses || !w->speed || work->load <= 0)
        return 0;
    double reading_us = wp_speed_reading(w->speed, work);
    double before = wp_pauses_chance(w->pauses, work->ahead_us, w->pause_us);
    double after =
        wp_pauses_chance(w->pauses, work->ahead_us + reading_us, w->pause_us);
    return w->pause_weight * work->load * MAX(0, after - before);
}

static double cost_of(const WPFleetRules *r, const WPWant *w,
                      const WPWork *work)
{
    double us = w->speed ? wp_speed_expect(w->speed, work) : 0;
    uint32_t own = work->prompt - wp_prompt_shared_tokens(w->prompt);
    uint32_t again = work->unread > own ? work->unread - own : 0;
    return w->second * us / WP_US_PER_S + r->read_kt * again / KILO +
           pause_cost(w, work);
}

WPBid wp_bid(const WPFleetRules *r, WPTime now, const WPWant *w,
             const WPReplica *s, uint32_t own, const WPKeepers *keepers)
{
    WPBid reads = { .work = { .prompt = w->prompt->tokens,
                              .unread = w->prompt->tokens - own,
                              .load = wp_fleet_load_of(s, now),
                              .ahead_us = wp_fleet_ahead_us(s, now),
                              .pace = s->said.pace } };
    reads.cost = cost_of(r, w, &reads.work);
    const WPKeeper *k = keeper_of(keepers, s->version);
    if (!r->move_kt || !k || k->replica == s || k->tokens <= own)
        return reads;
    WPBid takes = reads;
    takes.work.unread = w->prompt->tokens - k->tokens;
    takes.source = k->replica;
    takes.cost =
        cost_of(r, w, &takes.work) + r->move_kt * (k->tokens - own) / KILO;
    return takes.cost < reads.cost ? takes : reads;
}
