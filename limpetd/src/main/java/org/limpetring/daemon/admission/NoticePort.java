package org.limpetring.daemon.admission;

import org.limpetring.routing.cold.ColdNotice;
import org.limpetring.routing.poison.CrashNotice;

/** Publishes notices to all daemons. */
public interface NoticePort {

  /** Publishes that a group turned cold or warm. */
  void publish(ColdNotice notice);

  /** Publishes that a request was in progress at a crash. */
  void publish(CrashNotice notice);
}
