/** Messages to hosts to which this one has no link; a hub that has one forwards them. */
import type { Link, PeerHandlers } from '@bulrushspar/peer';
import type { Incarnation } from '@bulrushspar/store';
import { MESSAGE, type ForwardMessage, type ForwardedRequest } from './messages.js';

/** Messages between any two hosts of a fleet. */
export interface Forwarding {
  /** Sends a message to hosts; it is dropped for those that no known hub is linked to. */
  send(hosts: readonly string[], type: string, body: unknown): void;
  /** Sends a request to a host and waits for the answer; rejects if none arrives in time. */
  request<Answer>(
    host: string,
    type: string,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Answer>;
  /** Handles a message for this host, and forwards it to the others that it is for. */
  receive(link: Link, message: ForwardMessage): void;
  /** Answers a request for this host, or forwards it. */
  answer(link: Link, message: ForwardedRequest): unknown;
  removeHost(host: string): void;
}

/** Options of {@link createForwarding}. */
export interface ForwardingOptions {
  readonly self: Incarnation;
  readonly linkTo: (host: string) => Link | undefined;
  /** Hub through which this host reaches the others; undefined for a hub. */
  readonly primaryHub: () => string | undefined;
  readonly handlers: () => PeerHandlers;
}

/** Creates the forwarding of one host. */
export function createForwarding(options: ForwardingOptions): Forwarding {
  const { self, linkTo, primaryHub, handlers } = options;
  /** Hub over which the last message of a host arrived, by host. */
  const hubByHost = new Map<string, string>();

  const findLinkTowards = (host: string): Link | undefined => {
    const hub = hubByHost.get(host);
    const link = linkTo(host) ?? (hub === undefined ? undefined : linkTo(hub));
    if (link) return link;
    const primary = primaryHub();
    return primary === undefined ? undefined : linkTo(primary);
  };

  const handle = ({ type, body, host, incarnation }: ForwardMessage): unknown =>
    handlers()[type]?.(body, { host, incarnation });

  const recordHub = (link: Link, origin: string): void => {
    if (origin !== link.peer.host) hubByHost.set(origin, link.peer.host);
  };

  return {
    send: (hosts, type, body) => {
      const hostsByLink = new Map<Link, string[]>();
      hosts.forEach((host) => {
        const link = findLinkTowards(host);
        if (!link) return;
        if (link.peer.host === host) link.send(type, body);
        else hostsByLink.set(link, [...(hostsByLink.get(link) ?? []), host]);
      });
      hostsByLink.forEach((to, link) =>
        link.send(MESSAGE.FORWARD, { ...self, to, type, body } satisfies ForwardMessage),
      );
    },
    request: async <Answer>(host: string, type: string, body: unknown, milliseconds: number) => {
      const link = findLinkTowards(host);
      if (!link) throw new Error(`no link leads to host ${host}`);
      if (link.peer.host === host) return link.request<Answer>(type, body, milliseconds);
      const message: ForwardedRequest = { ...self, to: [host], type, body, milliseconds };
      return link.request<Answer>(MESSAGE.FORWARD_REQUEST, message, milliseconds);
    },
    receive: (link, message) => {
      recordHub(link, message.host);
      message.to.forEach((host) => {
        if (host === self.host) handle(message);
        // Only to hosts with a link, so that a message is forwarded by one hub at most.
        else linkTo(host)?.send(MESSAGE.FORWARD, { ...message, to: [host] });
      });
    },
    answer: (link, message) => {
      recordHub(link, message.host);
      const [host = self.host] = message.to;
      if (host === self.host) return handle(message);
      const next = linkTo(host);
      if (!next) throw new Error(`host ${self.host} has no link to host ${host}`);
      return next.request(MESSAGE.FORWARD_REQUEST, message, message.milliseconds);
    },
    removeHost: (host) => {
      hubByHost.delete(host);
      hubByHost.forEach((hub, origin) => {
        if (hub === host) hubByHost.delete(origin);
      });
    },
  };
}
