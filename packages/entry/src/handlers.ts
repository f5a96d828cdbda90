/** What a host does with the messages of the others. */
import type { Commander, Outlook } from '@bulrushspar/loading';
import type { PeerHandlers } from '@bulrushspar/peer';
import type { Suspects } from '@bulrushspar/routing';
import type { ServerStates } from '@bulrushspar/serving';
import type { Fleet } from './fleet.js';
import type { Gossip } from './gossip.js';
import {
  MESSAGE,
  type AdapterMessage,
  type ChangesMessage,
  type FleetSummary,
  type HostState,
  type OutlookMessage,
  type PullMessage,
  type SuspectMessage,
  type UnloadingMessage,
  type WantsMessage,
} from './messages.js';
import type { Source } from './source.js';

/** Options of {@link createHandlers}. */
export interface HandlersOptions {
  readonly fleet: () => Fleet;
  readonly gossip: () => Gossip;
  readonly sources: readonly Source[];
  readonly commander: Commander;
  readonly suspects: Suspects;
  readonly servers: ServerStates;
  readonly takeOutlook: (outlook: readonly Outlook[]) => void;
}

/** Creates the handlers of one host. */
export function createHandlers(options: HandlersOptions): PeerHandlers {
  const { fleet, gossip, sources, commander, suspects, servers, takeOutlook } = options;

  const sourceOf = (kind: string): Source | undefined =>
    sources.find((source) => source.kind === kind);

  return {
    [MESSAGE.STATE]: (body, from) => {
      const link = fleet().links.to(from.host);
      if (link) gossip().hear(link, body as HostState);
    },
    [MESSAGE.SUMMARY]: (body, from) => {
      const link = fleet().links.to(from.host);
      if (link) gossip().hearSummary(link, body as FleetSummary);
    },
    [MESSAGE.WANTS]: (body, from) => commander.setWants(from.host, body as WantsMessage),
    [MESSAGE.OUTLOOK]: (body) => takeOutlook(body as OutlookMessage),
    [MESSAGE.ADAPTER]: (body) => {
      const { server, model, adapter } = body as AdapterMessage;
      return commander.ensureAdapter(server, model, adapter);
    },
    [MESSAGE.UNLOADING]: (body, from) => {
      const { server, model } = body as UnloadingMessage;
      servers.noteUnloading(server, model);
      fleet().passOn(MESSAGE.UNLOADING, body, from.host);
    },
    [MESSAGE.CHANGES]: (body, from) => {
      const message = body as ChangesMessage;
      const link = fleet().links.to(from.host);
      const source = sourceOf(message.kind);
      if (!link || !source) return;
      const isNews = message.changedAt > source.changedAt();
      source.take(link, message);
      if (isNews) fleet().passOn(MESSAGE.CHANGES, message, from.host);
    },
    [MESSAGE.PULL]: (body) => sourceOf((body as PullMessage).kind)?.snapshot(),
    [MESSAGE.SUSPECT]: (body, from) => {
      suspects.hear(body as SuspectMessage);
      fleet().passOn(MESSAGE.SUSPECT, body, from.host);
    },
  };
}
